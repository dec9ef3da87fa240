import {staleReadLimits} from './stale-read-limits.js';

const {staleReadMs, confirmationMaxAgeMs, maxFetchMs} = staleReadLimits;
/** Allowance for reports that were on their way, or lay at a frozen host. */
const reportDelaySlackMs = 10_000;
const ackSlackMs = 500;

/** What the host that frees parts knows of another host. */
type Reader = {
	/** When the host was first heard to know of the newer weights; `undefined` when it was not. */
	readonly ackedAt: number | undefined;
};

/**
Says whether context of replaced weights can be freed: every host has ceased to read it. A host that is heard to know of the
newer weights stops `readersEndMs` later; one that is not heard stops `evidenceMs` after its last word of the store, which
can't be later than the naming. Fetches that it began end within `fetchEndMs`.

@param learnedAt - When this host learned of the newer weights.
*/
export function canFreeStaleKv(readers: readonly Reader[], learnedAt: number, now: number): boolean {
	const readEndMs = staleReadMs + maxFetchMs + ackSlackMs;
	if (now - learnedAt < readEndMs) {
		return false;
	}

	const hasReadTimeoutPassed = now - learnedAt >= confirmationMaxAgeMs + readEndMs + reportDelaySlackMs;
	return hasReadTimeoutPassed || readers.every(({ackedAt}) => ackedAt !== undefined && now - ackedAt >= readEndMs);
}
