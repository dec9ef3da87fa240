/** A budget that keeps retries to a share of first attempts. */
export type RetryBudget = {
	/** Counts a first attempt. */
	readonly earn: () => void;
	/** Takes one retry; `false` when the budget is spent. */
	readonly spend: () => boolean;
};
