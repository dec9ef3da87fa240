import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type StoredResponse} from '../decide/commitments/stored-response.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';

/** Claims idempotency keys and records outcomes; writes of a shard are batched by the shard's owner. */
export type LedgerTask = {
	/**
	Claims a key through the shard's owner, or by a direct write when the owner is unreachable.
	@throws {Refusal} `platform-unavailable` when the claim could not be recorded in time.
	*/
	readonly claim: (claim: IdempotencyClaim) => Promise<ClaimResult>;
	/** Records an outcome in the background; the write is retried until it succeeds. */
	readonly settle: (outcome: ClaimOutcome) => void;
	/**
	Returns `response` in the form that an outcome records: unchanged when small, with its body moved to a separate object
	when large, and without a body when too large to store or when that write fails.
	*/
	readonly storeResponse: (claim: IdempotencyClaim, response: StoredResponse) => Promise<StoredResponse>;
	/** Returns the body of a stored response; `undefined` when it is no longer stored. */
	readonly readResponseBody: (response: StoredResponse) => Promise<string | undefined>;
	/** Returns whether some outcome of this host is not written to the platform yet. */
	readonly hasUnstored: () => boolean;
	/** Waits until every outcome of this host is written to the platform, at most `ms` milliseconds. */
	readonly flush: (ms: number) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'commit.claim' | 'commit.settle'>;
};
