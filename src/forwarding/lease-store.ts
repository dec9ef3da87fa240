import {type StoredObject} from './stored-object.js';

/** Access to the lease object. Every function may throw `PlatformUnavailableError` or `PeerUnreachableError`. */
export type LeaseStore = {
	/** Reads the lease; `undefined` when there is none yet. */
	readonly read: () => Promise<StoredObject | undefined>;
	/**
	Writes the lease if its revision is still `revision` (0 when it does not exist).

	@returns The written object; `undefined` when the revision has changed.
	*/
	readonly write: (value: unknown, revision: number) => Promise<StoredObject | undefined>;
};
