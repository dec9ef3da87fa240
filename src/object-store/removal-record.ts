import {type StoredObject} from './stored-object.js';
import {type StorePosition} from './store-position.js';

/** How objects are kept whose content has no version: a removal is recorded in place of the object, so that what a returned store has lost can be told from it. */
export type RemovalRecord = {
	/** Merges received objects with the known ones. `isNewer` says whether all of them are of a later position. */
	readonly merge: (known: readonly StoredObject[], received: StorePosition & {readonly objects: readonly StoredObject[]}, isNewer: boolean) => readonly StoredObject[];
	/** Returns a number that only increases as more is known, and that hosts at the same position compare. */
	readonly getVersion: (objects: readonly StoredObject[]) => number;
	readonly isRemoved: (object: StoredObject) => boolean;
	/** Returns the record of a removal at a position or before it. */
	readonly toRemoved: (object: StoredObject, position: StorePosition) => StoredObject;
};
