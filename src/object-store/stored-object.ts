import {type StorePosition} from './store-position.js';

/** An object of the platform's store, with the revision of its last change and the epoch in which it was read. */
export type StoredObject = StorePosition & {
	readonly name: string;
	readonly value: unknown;
};
