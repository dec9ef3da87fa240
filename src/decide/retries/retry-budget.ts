/** A budget that limits retries to a share of the first attempts. */
export type RetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: () => void;
	/** Takes one retry from the budget; returns `false` when the budget is exhausted. */
	readonly tryWithdraw: () => boolean;
};
