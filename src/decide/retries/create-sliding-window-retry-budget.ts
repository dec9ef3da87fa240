import {type SlidingWindowRetryBudget} from './sliding-window-retry-budget.js';

const slices = 10;

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
	const sliceMs = windowMs / slices;
	let counts: Array<{readonly slice: number; firsts: number; repeats: number}> = [];

	const current = (now: number) => {
		const slice = Math.floor(now / sliceMs);
		// One slice more than the window is kept, since the window may begin inside of a slice.
		counts = counts.filter(count => slice - count.slice <= slices);
		const last = counts.at(-1);
		if (last?.slice === slice) {
			return last;
		}

		const added = {slice, firsts: 0, repeats: 0};
		counts.push(added);
		return added;
	};

	return {
		deposit(now) {
			current(now).firsts++;
		},
		tryWithdraw(now) {
			const count = current(now);
			let firsts = 0;
			let repeats = 0;
			for (const each of counts) {
				// First attempts of the oldest slice may lie before the window; retries in it are counted all the same.
				firsts += each.slice > count.slice - slices ? each.firsts : 0;
				repeats += each.repeats;
			}

			const {ratio, slack} = limits();
			if (repeats + 1 > (firsts * ratio) + (slack / Math.max(1, hosts()))) {
				return false;
			}

			count.repeats++;
			return true;
		},
	};
}
