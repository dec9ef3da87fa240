import {type LedgerRecord} from './ledger-record.js';
import {type ClaimOutcome} from './claim-outcome.js';

/**
Decides an outcome against the newest record of its key.

@returns The record to append, or `undefined` when nothing changes.
*/
export function createOutcomeRecord(latest: LedgerRecord | undefined, outcome: ClaimOutcome, now: number): LedgerRecord | undefined {
	const {key, digest, id, state, answer} = outcome;
	const record = {
		key, digest, id, holder: latest?.holder ?? '', state, at: now, ...(answer ? {answer} : {}),
	};
	if (!latest) {
		// The claim may still be on its way; the record keeps it from being granted.
		return state === 'released' ? record : undefined;
	}

	const acceptsOutcome = latest.state === 'claimed' || (latest.state === 'unknown' && state !== 'unknown');
	return latest.id === id && acceptsOutcome ? record : undefined;
}
