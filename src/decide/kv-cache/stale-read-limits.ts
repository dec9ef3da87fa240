/** Time limits shared by the readers of stored KV cache and the host that frees it, in milliseconds. */
export const staleReadLimits = {
	/** Readers use KV cache of stale weights for this long after they learn of newer ones, while engines load the new weights. */
	staleReadMs: 9000,
	/** A reader uses no stored KV cache when the newest weights were last confirmed to it longer ago than this. */
	confirmationMaxAgeMs: 20_000,
	/** A fetch ends within this time after the store's response that confirmed the part as complete. */
	maxFetchMs: 3000,
	/**
	A reader uses no stored KV cache of a group of sharing workspaces that has come into force this recently: the group may have been in force
	before, and a host that has not learned of its return may be about to free what was kept then.
	*/
	groupSettleMs: 5000,
	/** A call that frees KV cache of a group takes effect within this time; with the time in which the configuration is confirmed, less than `groupSettleMs`. */
	maxFreeMs: 2500,
} as const;
