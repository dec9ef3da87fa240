/** Limits by which a host judges what it knows of versions and streams, in milliseconds. */
export const versionKnowledgeLimits = {
	/** Longest time between two confirmations where the store responds. */
	maxConfirmedAgeMs: 2000,
	/** A host that has been silent for longer is gone; what it learned before has been learned from the store meanwhile. */
	goneAfterMs: 10_000,
} as const;
