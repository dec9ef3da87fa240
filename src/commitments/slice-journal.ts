import {type ClaimAnswer} from '../decide/commitments/claim-answer.js';
import {type Claim} from '../decide/commitments/claim.js';
import {type Outcome} from '../decide/commitments/outcome.js';

/** The journal of one slice of commitments, kept in the platform. */
export type SliceJournal = {
	/**
	Claims a key; the claim is in the platform when `granted` is answered.
	@throws {Refusal} `platform-unavailable` when nothing could be decided.
	*/
	readonly claim: (claim: Claim) => Promise<ClaimAnswer>;
	/** Records an outcome; tries again until the platform has taken it. */
	readonly settle: (outcome: Outcome) => Promise<void>;
	/** Number of claims and outcomes that wait for a write. */
	readonly pending: () => number;
};
