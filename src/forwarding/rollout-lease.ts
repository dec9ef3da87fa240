/**
The lease under which one host at a time sends weight updates to engines. `acquireOrRenew` and `renewOrRelease` throw the
errors of the lease store.
*/
export type RolloutLease = {
	/** Acquires or renews the lease if that is allowed now; `workSince` is since when there have been engines to update. */
	readonly acquireOrRenew: (workSince: number) => Promise<void>;
	/** Renews the lease while orders may still be in flight, then releases it. */
	readonly renewOrRelease: () => Promise<void>;
	/** Returns the fencing token for orders sent now; `undefined` when this host does not hold the lease. */
	readonly token: () => number | undefined;
	/** Records that an order is sent or was answered now. */
	readonly recordOrder: () => void;
	/** Records that an engine refused a token because it had seen a higher one. */
	readonly recordRefusedToken: (token: number) => void;
	/** Records that a call to the lease store failed; if a write may have taken effect nevertheless, the lease is read again at once. */
	readonly recordStoreFailure: () => void;
};
