import {staleReadLimits} from './stale-read-limits.js';

const {staleReadMs, confirmationMaxAgeMs, maxFetchMs} = staleReadLimits;
/** Allowance for reports that were on their way, or lay at a frozen host. */
const silentSlackMs = 10_000;
const ackSlackMs = 500;

/** What the host that frees parts knows of another host. */
type ReaderFacts = {
	/** When the host was first heard to know of the newer weights; `undefined` when it was not. */
	readonly ackedAt: number | undefined;
};

/**
Says whether context of replaced weights can be freed: every host has ceased to read it. A host that is heard to know of the
newer weights stops `readersEndMs` later; one that is not heard stops `evidenceMs` after its last word of the store, which
can't be later than the naming. Fetches that it began end within `fetchEndMs`.

@param knownAt - When this host learned of the newer weights.
*/
export function canFreeStaleKv(readers: readonly ReaderFacts[], knownAt: number, now: number): boolean {
	const endMs = staleReadMs + maxFetchMs + ackSlackMs;
	if (now - knownAt < endMs) {
		return false;
	}

	const isSilenceOver = now - knownAt >= confirmationMaxAgeMs + endMs + silentSlackMs;
	return isSilenceOver || readers.every(({ackedAt}) => ackedAt !== undefined && now - ackedAt >= endMs);
}
