/** One host's view of a lease. Times are in milliseconds of the host's own monotonic clock. */
export type Lease = {
	/** Records the version and fencing token of the lease object as read from the platform. */
	readonly observe: (version: number, fencing: number, now: number) => void;
	/** Returns whether no renewal has been observed for the whole lease time, or no lease exists yet. */
	readonly canAcquire: (now: number) => boolean;
	/** Records that an acquisition or renewal, begun at `startedAt`, was written. */
	readonly recordRenewal: (version: number, fencing: number, startedAt: number) => void;
	/** Records that another host has written the lease. */
	readonly markLost: () => void;
	/** Returns the fencing token for orders while this host holds the lease, otherwise `undefined`. */
	readonly fencing: (now: number) => number | undefined;
	/** Returns the last known version of the lease object. */
	readonly version: () => number;
	/** Returns the last known fencing token, of any holder. */
	readonly latestFencingToken: () => number;
};
