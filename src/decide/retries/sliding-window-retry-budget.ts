/** A retry budget over a sliding window. Times are in milliseconds of a steady clock. */
export type SlidingWindowRetryBudget = {
	/** Counts a first attempt. */
	readonly deposit: (now: number) => void;
	/** Takes one retry from the budget; `false` when it is spent. */
	readonly tryWithdraw: (now: number) => boolean;
};
