import {type StoredObject} from './stored-object.js';

/** Reads and writes of the lease object. Every function may throw `PlatformUnavailableError` or `PeerUnreachableError`. */
export type LeaseStore = {
	/** `undefined` when there is no lease yet. */
	readonly read: () => Promise<StoredObject | undefined>;
	/**
	Writes the lease if its revision still is `revision` (0: it does not exist).
	@returns `undefined` when another value is there.
	*/
	readonly write: (value: unknown, revision: number) => Promise<StoredObject | undefined>;
};
