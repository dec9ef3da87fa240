import {sleep} from './sleep.js';

const pollMs = 20;

/** What a process finishes before it stops. Times are in milliseconds. */
type LastWork = {
	/** Returns the number of requests under way. */
	readonly underWay: () => number;
	/** Returns whether something is left to store. */
	readonly hasUnstored: () => boolean;
	/** Stores what is left; resolves at the latest after a time. */
	readonly store: (timeoutMs: number) => Promise<void>;
	/** Time for storing, all together. */
	readonly maxStoreMs: number;
	/** From then on requests under way are not waited for, by the clock `now`. */
	readonly endsAt: number;
	readonly now: () => number;
};

/**
Resolves at a moment at which no request is under way and nothing is left to store, or the time for it is over. Requests that come meanwhile are
served. The caller has to close its connections at once, before the process reads another request.
*/
export async function finishWork({underWay, hasUnstored, store, maxStoreMs, endsAt, now}: LastWork): Promise<void> {
	let storeLeftMs = maxStoreMs;
	for (;;) {
		while (underWay() > 0 && now() < endsAt) {
			await sleep(pollMs);
		}

		if (!hasUnstored() || storeLeftMs <= 0) {
			return;
		}

		const startedAt = now();
		await Promise.all([store(storeLeftMs), sleep(pollMs)]);
		storeLeftMs -= now() - startedAt;
	}
}
