import {type ClaimResult} from './claim-result.js';
import {type IdempotencyClaim} from './idempotency-claim.js';
import {type LedgerRecord} from './ledger-record.js';

/** Decides whether a claim is granted, from the newest record of its key. Only `granted` needs a new record. */
export function decideClaim(latest: LedgerRecord | undefined, claim: IdempotencyClaim): ClaimResult {
	if (!latest) {
		return {kind: 'granted'};
	}

	if (latest.state === 'released') {
		return latest.id === claim.id ? {kind: 'given-up'} : {kind: 'granted'};
	}

	if (latest.digest !== claim.digest) {
		return {kind: 'reused'};
	}

	switch (latest.state) {
		case 'claimed': {
			return latest.id === claim.id ? {kind: 'granted'} : {kind: 'running', id: latest.id, holder: latest.holder};
		}

		case 'done': {
			return {kind: 'done', answer: latest.answer ?? {status: 200, contentType: ''}};
		}

		case 'unknown': {
			return {kind: 'unknown', id: latest.id};
		}
	}
}
