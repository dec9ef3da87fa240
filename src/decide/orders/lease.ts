import {type LeaseInstant} from './lease-instant.js';

/**
One host's view of a lease. Times are in milliseconds of the host's own clocks: `heldNow` of the one for its own rights, `waitNow` of the
one for waits for others (`Clocks`).
*/
export type Lease = {
	/** Records the version and fencing token of the lease object as read from the platform. */
	readonly observe: (version: number, fencing: number, waitNow: number) => void;
	/** Returns whether no renewal has been observed for the whole lease time, or no lease exists yet. */
	readonly canAcquire: (waitNow: number) => boolean;
	/** Records that an acquisition or renewal was written, and when it was begun by each clock. */
	readonly recordRenewal: (version: number, fencing: number, started: LeaseInstant) => void;
	/** Records that another host has written the lease. */
	readonly markLost: () => void;
	/** Returns the fencing token for orders while this host holds the lease, otherwise `undefined`. */
	readonly fencing: (heldNow: number) => number | undefined;
	/** Returns the last known version of the lease object. */
	readonly version: () => number;
	/** Returns the last known fencing token, of any holder. */
	readonly latestFencingToken: () => number;
};
