import {type ClaimAnswer} from '../decide/commitments/claim-answer.js';
import {type Claim} from '../decide/commitments/claim.js';
import {type KeptAnswer} from '../decide/commitments/kept-answer.js';
import {type Outcome} from '../decide/commitments/outcome.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';

/** Claims and outcomes of all slices, batched by each slice's owner. */
export type LedgerTask = {
	/** Claims a key through the slice's owner, or directly when the owner is out of reach. */
	readonly claim: (claim: Claim) => Promise<ClaimAnswer>;
	/** Records an outcome in the background until the platform has taken it. */
	readonly settle: (outcome: Outcome) => void;
	/** Puts a large answer into an object of its own. */
	readonly keepAnswer: (claim: Claim, answer: KeptAnswer) => Promise<KeptAnswer>;
	/** Gives the body of a kept answer; `undefined` when it is no longer kept. */
	readonly readAnswer: (answer: KeptAnswer) => Promise<string | undefined>;
	/** Waits until every outcome of this host is in the platform, at most `ms` milliseconds. */
	readonly flush: (ms: number) => Promise<void>;
	readonly handlers: Pick<PeerHandlers, 'commit.claim' | 'commit.settle'>;
};
