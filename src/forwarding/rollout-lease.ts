/** The lease under which one host at a time orders engines. `acquireOrRenew` and `renewOrRelease` may throw what the lease's store throws. */
export type RolloutLease = {
	/** Takes or renews the lease, if that may be done now; `workSince` is when there came to be something to order. */
	readonly acquireOrRenew: (workSince: number) => Promise<void>;
	/** Renews the lease while orders may still be on their way, then gives it back. */
	readonly renewOrRelease: () => Promise<void>;
	/** Token under which orders may be given now; `undefined` when this host does not hold the lease. */
	readonly token: () => number | undefined;
	readonly recordOrder: () => void;
	/** Notes that an engine refused a token because it had seen a higher one. */
	readonly recordFenced: (token: number) => void;
	/** Notes that a call to the lease's store failed; where a write may hold all the same, the lease is read again at once. */
	readonly recordStoreFailure: () => void;
};
