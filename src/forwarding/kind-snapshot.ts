import {type StoredObject} from './stored-object.js';

/** All objects of a kind at a revision of the store. */
export type KindSnapshot = {
	readonly objects: readonly StoredObject[];
	readonly revision: number;
	/** Upper bound for the revision of the last change of these objects. */
	readonly changedAt: number;
};
