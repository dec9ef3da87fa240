import {type LedgerRecord} from './ledger-record.js';
import {type ClaimOutcome} from './claim-outcome.js';

/**
Creates the ledger record of a claim's outcome.

@param latest - Newest record of the key.
@param now - Wall-clock time, in milliseconds.
@returns The record to append, or `undefined` when the outcome changes nothing.
*/
export function createOutcomeRecord(latest: LedgerRecord | undefined, outcome: ClaimOutcome, now: number): LedgerRecord | undefined {
	const {key, digest, id, state, answer} = outcome;
	const record = {
		key, digest, id, holder: latest?.holder ?? '', state, at: now, ...(answer ? {answer} : {}),
	};
	if (!latest) {
		// A claim that arrives after its own release must not be granted; the record prevents that.
		return state === 'released' ? record : undefined;
	}

	const acceptsOutcome = latest.state === 'claimed' || (latest.state === 'unknown' && state !== 'unknown');
	return latest.id === id && acceptsOutcome ? record : undefined;
}
