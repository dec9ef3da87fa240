import {type StoredObject} from './stored-object.js';

/** All objects of a kind at a revision of the store. */
export type KindSnapshot = {
	readonly objects: readonly StoredObject[];
	readonly revision: number;
	/** Revision up to which the last change of the objects is known to have been made. */
	readonly changedAt: number;
};
