/** One host's view of its domain's lease. Times are of the own monotonic clock, in milliseconds. */
export type Lease = {
	/** Takes note of the lease object as read. */
	readonly observe: (version: number, fencing: number, now: number) => void;
	/** Whether the last known holder has been silent for the whole lease time. */
	readonly canAcquire: (now: number) => boolean;
	/** A renewal that began at `startedAt` was written. */
	readonly recordRenewal: (version: number, fencing: number, startedAt: number) => void;
	readonly markLost: () => void;
	/** Fencing number under which orders may be given now, or `undefined`. */
	readonly fencing: (now: number) => number | undefined;
	readonly version: () => number;
	readonly latestFencingToken: () => number;
};
