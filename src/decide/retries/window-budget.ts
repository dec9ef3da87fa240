/** A retry budget over a sliding window. Times are in milliseconds of a steady clock. */
export type WindowBudget = {
	/** Counts a first attempt. */
	readonly earn: (now: number) => void;
	/** Takes one retry from the budget; `false` when it is spent. */
	readonly spend: (now: number) => boolean;
};
