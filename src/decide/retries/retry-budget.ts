/** A budget that keeps retries to a share of first attempts. */
export type RetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: () => void;
	/** Takes one retry; `false` when the budget is spent. */
	readonly tryWithdraw: () => boolean;
};
