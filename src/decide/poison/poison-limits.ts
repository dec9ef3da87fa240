/** Bounds of what hosts conclude from crashes of upstreams, and remember of them. Times are in milliseconds. */
export const poisonLimits = {
	/** How long crashes are remembered, and condemned requests and parts are refused. */
	retentionMs: 600_000,
	/** Time for other hosts to report which requests they had in flight at a crash. */
	settleMs: 300,
	/** Refusal of a request that may have merely run beside the one that crashes upstreams. */
	provisionalMs: 5000,
	crashesToCondemnRequest: 2,
	/** Crashes after which a request is the cause, whatever else was in flight. */
	crashesToConfirmRequest: 3,
	crashesToCondemnParts: 3,
	/** Times after the last crash at which one request with condemned parts is sent all the same. */
	trialDelaysMs: [15_000, 30_000, 240_000],
	/** Least time between two crashes that count for a part; crashes together have a cause of their own. */
	separationMs: 250,
	maxEvents: 256,
	maxRequests: 2048,
	maxSuspectParts: 2048,
	maxPartsPerRequest: 16,
	/** Sets of condemned parts. */
	maxCondemned: 100,
	/** Parts and sets of condemned parts in one report to other hosts. */
	maxReportedParts: 32,
	maxReportedCondemned: 4,
	/** Parts whose last completed request is remembered. */
	maxCompletedParts: 4096,
} as const;
