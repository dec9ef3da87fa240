import {staleReadLimits} from './stale-read-limits.js';

const {staleReadMs, confirmationMaxAgeMs, maxFetchMs} = staleReadLimits;
/** Allowance for reports that are delayed in transit or by a suspended host. */
const reportDelaySlackMs = 10_000;
/** Margin added to the time by which a host's last fetch has ended. */
const readEndMarginMs = 500;

/** State of a host that may read stored KV cache, as known to the host that frees it. */
type Reader = {
	/** When a report first showed that the host has learned of the newer weights; `undefined` when none has. */
	readonly ackedAt: number | undefined;
};

/**
Returns whether stored KV cache of stale weights can be freed because no host reads it any more. A host that has acknowledged the newer
weights stops reading `staleReadMs` after it learned of them. A host that has not acknowledged them stops reading
`confirmationMaxAgeMs` after the platform's store last confirmed to it that there are no newer weights; that confirmation can't be later
than the time when the newer weights became the desired ones. Fetches that were already running end within `maxFetchMs`.

All times are of the clock for waits for others (`Clocks`).

@param learnedAt - When this host learned of the newer weights, or later.
*/
export function canFreeStaleKv(readers: readonly Reader[], learnedAt: number, now: number): boolean {
	const readEndMs = staleReadMs + maxFetchMs + readEndMarginMs;
	if (now - learnedAt < readEndMs) {
		return false;
	}

	const haveUnacknowledgedReadsEnded = now - learnedAt >= confirmationMaxAgeMs + readEndMs + reportDelaySlackMs;
	return haveUnacknowledgedReadsEnded || readers.every(({ackedAt}) => ackedAt !== undefined && now - ackedAt >= readEndMs);
}
