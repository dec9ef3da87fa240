import {type SlidingWindowRetryBudget} from './sliding-window-retry-budget.js';

const slicesPerWindow = 10;

/** Limits that may change while the host runs. */
type RetryLimits = {
	/** Retries for each first attempt. */
	readonly ratio: number;
	/** Retries in a window beyond the ratio, for all hosts together. */
	readonly slack: number;
};

/** What a host may spend of a retry budget that all hosts share. */
type WindowBudgetOptions = {
	readonly limits: () => RetryLimits;
	readonly windowMs: number;
	/** Hosts that share the slack. */
	readonly hosts: () => number;
};

/**
Creates a host's part of a retry budget over a sliding window. Each host earns by its own first attempts and takes an equal
part of the slack, so no messages are needed to keep the sum. Load pattern: many upstreams fail at once and every host
retries at the same time.
*/
export function createSlidingWindowRetryBudget({limits, windowMs, hosts}: WindowBudgetOptions): SlidingWindowRetryBudget {
	const sliceMs = windowMs / slicesPerWindow;
	let counts: Array<{readonly slice: number; firstAttempts: number; retries: number}> = [];

	const getCurrentSlice = (now: number) => {
		const slice = Math.floor(now / sliceMs);
		// One slice more than the window is kept, since the window may begin inside of a slice.
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
				// First attempts of the oldest slice may lie before the window; retries in it are counted all the same.
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
