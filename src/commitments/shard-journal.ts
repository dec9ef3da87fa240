import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';

/** The journal of one ledger shard, stored in the platform. */
export type ShardJournal = {
	/**
	Claims a key; the claim is written to the platform before `granted` is returned.
	@throws {Refusal} `platform-unavailable` when the claim could not be recorded in time.
	*/
	readonly claim: (claim: IdempotencyClaim) => Promise<ClaimResult>;
	/** Records an outcome; the write is retried until it succeeds. */
	readonly settle: (outcome: ClaimOutcome) => Promise<void>;
	/** Returns the number of claims and outcomes that wait for the next write. */
	readonly pendingCount: () => number;
};
