import {type Claim} from '../decide/claims/claim.js';
import {type LoadQuote} from '../decide/claims/load-quote.js';
import {type ClaimMessage} from './claim-message.js';

/** A claim that counts in the ledger of its upstream until its end. */
export type HeldClaim = {
	/** Records that the prefill has ended. */
	readonly recordAnswered: () => void;
	/** Ends or withdraws the claim; further calls change nothing. */
	readonly end: () => void;
};

/** What came of a claim: a quote, no answer in time, or an owner that is not asked since it did not answer before. */
export type ClaimResult
	= | {readonly kind: 'quoted'; readonly quote: LoadQuote; readonly held: HeldClaim}
		| {readonly kind: 'no-answer' | 'not-asked'};

/** Claims of places at upstreams, and the ledgers of the upstreams that this host owns. */
export type ClaimTask = {
	/** Claims a place at an upstream. */
	readonly claim: (claim: Claim, domain: string) => Promise<ClaimResult>;
	/** Lets a request that is sent without a quote count in the ledger. */
	readonly note: (claim: Claim, domain: string) => HeldClaim;
	readonly receive: (message: ClaimMessage) => void;
	readonly stop: () => void;
};
