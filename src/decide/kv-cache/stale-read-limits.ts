/** Time limits shared by the readers of stored KV cache and the host that frees it, in milliseconds. */
export const staleReadLimits = {
	/** Readers use KV cache of stale weights for this long after they learn of newer ones, while engines load the new weights. */
	staleReadMs: 9000,
	/** A reader uses no stored KV cache when the newest weights were last confirmed to it longer ago than this. */
	confirmationMaxAgeMs: 20_000,
	/** A fetch ends within this time after the store's response that confirmed the part as complete. */
	maxFetchMs: 3000,
} as const;
