import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';

/** The journal of one slice of commitments, kept in the platform. */
export type ShardJournal = {
	/**
	Claims a key; the claim is in the platform when `granted` is answered.
	@throws {Refusal} `platform-unavailable` when nothing could be decided.
	*/
	readonly claim: (claim: IdempotencyClaim) => Promise<ClaimResult>;
	/** Records an outcome; tries again until the platform has taken it. */
	readonly settle: (outcome: ClaimOutcome) => Promise<void>;
	/** Number of claims and outcomes that wait for a write. */
	readonly pendingCount: () => number;
};
