import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type StoredResponse} from '../decide/commitments/stored-response.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';

/** Claims and outcomes of all slices, batched by each slice's owner. */
export type LedgerTask = {
	/** Claims a key through the slice's owner, or directly when the owner is out of reach. */
	readonly claim: (claim: IdempotencyClaim) => Promise<ClaimResult>;
	/** Records an outcome in the background until the platform has taken it. */
	readonly settle: (outcome: ClaimOutcome) => void;
	/** Puts a large answer into an object of its own. */
	readonly storeResponse: (claim: IdempotencyClaim, response: StoredResponse) => Promise<StoredResponse>;
	/** Gives the body of a kept answer; `undefined` when it is no longer kept. */
	readonly readResponseBody: (response: StoredResponse) => Promise<string | undefined>;
	/** Waits until every outcome of this host is in the platform, at most `ms` milliseconds. */
	readonly flush: (ms: number) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'commit.claim' | 'commit.settle'>;
};
