import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/** All objects of a kind at a position of the store. Objects whose content has a version may be kept from an earlier epoch. */
export type KindSnapshot = StorePosition & {
	readonly objects: readonly StoredObject[];
	/** Upper bound for the revision of the last change of these objects. */
	readonly changedAt: number;
};
