/** A retry budget over a sliding window. Times are in milliseconds of a monotonic clock. */
export type SlidingWindowRetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: (now: number) => void;
	/** Takes one retry from the budget; returns `false` when the budget is exhausted. */
	readonly tryWithdraw: (now: number) => boolean;
};
