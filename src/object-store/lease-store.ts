import {type KnownEpoch} from './known-epoch.js';
import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/** Access to the lease object. Every function may throw `PlatformUnavailableError` or `PeerUnreachableError`. */
export type LeaseStore = {
	/** Returns the epoch of the store, and since when this host has known it. */
	readonly epoch: () => KnownEpoch;
	/** Reads the lease; `undefined` when there is none yet. */
	readonly read: () => Promise<StoredObject | undefined>;
	/**
	Writes the lease if it has not changed since it was read at `expected`; `undefined` when it did not exist.

	@returns The written object; `undefined` when the lease has changed.
	*/
	readonly write: (value: unknown, expected: StorePosition | undefined) => Promise<StoredObject | undefined>;
};
