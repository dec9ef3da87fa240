import {type ClaimResult} from './claim-result.js';
import {type IdempotencyClaim} from './idempotency-claim.js';
import {type LedgerRecord} from './ledger-record.js';

/** Decides a claim against the newest record of its key. Only `granted` needs a new record. */
export function decideClaim(known: LedgerRecord | undefined, claim: IdempotencyClaim): ClaimResult {
	if (!known) {
		return {kind: 'granted'};
	}

	if (known.state === 'released') {
		return known.id === claim.id ? {kind: 'given-up'} : {kind: 'granted'};
	}

	if (known.digest !== claim.digest) {
		return {kind: 'reused'};
	}

	switch (known.state) {
		case 'claimed': {
			return known.id === claim.id ? {kind: 'granted'} : {kind: 'running', id: known.id, holder: known.holder};
		}

		case 'done': {
			return {kind: 'done', answer: known.answer ?? {status: 200, contentType: ''}};
		}

		case 'unknown': {
			return {kind: 'unknown', id: known.id};
		}
	}
}
