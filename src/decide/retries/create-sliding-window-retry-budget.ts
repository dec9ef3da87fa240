import {type SlidingWindowRetryBudget} from './sliding-window-retry-budget.js';

/** The window advances in steps of a tenth. */
const slicesPerWindow = 10;

/** Limits of the budget; they may change at runtime. */
type RetryLimits = {
	/** Retries allowed for each first attempt. */
	readonly ratio: number;
	/** Retries allowed in a window beyond the ratio, summed over all hosts. */
	readonly slack: number;
};

/** Options of one host's part of a retry budget. */
type WindowBudgetOptions = {
	readonly limits: () => RetryLimits;
	readonly windowMs: number;
	/** Returns the number of hosts that share the slack. */
	readonly hosts: () => number;
};

/**
Creates one host's part of a retry budget over a sliding window. The budget of each host follows from its own first attempts
plus an equal part of the slack, so that all hosts together keep the limit without exchanging messages. Load pattern: many
upstreams fail at once and every host retries at the same time.
*/
export function createSlidingWindowRetryBudget({limits, windowMs, hosts}: WindowBudgetOptions): SlidingWindowRetryBudget {
	const sliceMs = windowMs / slicesPerWindow;
	/** Counts of each slice, oldest first; slices are numbered from time 0. */
	let counts: Array<{readonly slice: number; firstAttempts: number; retries: number}> = [];

	const getCurrentSlice = (now: number) => {
		const slice = Math.floor(now / sliceMs);
		// Keeps one slice more than the window has, since the window may begin within a slice.
		counts = counts.filter(count => slice - count.slice <= slicesPerWindow);
		const last = counts.at(-1);
		if (last?.slice === slice) {
			return last;
		}

		const created = {slice, firstAttempts: 0, retries: 0};
		counts.push(created);
		return created;
	};

	return {
		deposit(now) {
			getCurrentSlice(now).firstAttempts++;
		},
		tryWithdraw(now) {
			const newest = getCurrentSlice(now);
			let firstAttempts = 0;
			let retries = 0;
			for (const entry of counts) {
				// The oldest slice is partly outside the window: its retries are counted and its first attempts are not, to stay below the limit.
				firstAttempts += entry.slice > newest.slice - slicesPerWindow ? entry.firstAttempts : 0;
				retries += entry.retries;
			}

			const {ratio, slack} = limits();
			if (retries + 1 > (firstAttempts * ratio) + (slack / Math.max(1, hosts()))) {
				return false;
			}

			newest.retries++;
			return true;
		},
	};
}
