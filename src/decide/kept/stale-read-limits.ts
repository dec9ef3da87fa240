/** Times on which readers of stored context and the host that frees it agree, in milliseconds. */
export const staleReadLimits = {
	/** Readers go on using context of replaced weights for this long after they learn of newer ones, while engines change over. */
	staleReadMs: 9000,
	/** A reader without word of the newest weights for this long uses no stored context. */
	confirmationMaxAgeMs: 20_000,
	/** A fetch ends within this time of the store's answer that showed the part to be whole. */
	maxFetchMs: 3000,
} as const;
