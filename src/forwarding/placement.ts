import {type LoadQuote} from '../decide/claims/load-quote.js';
import {type PlacedWeights} from './placed-weights.js';
import {type PlacementClaim} from './placement-claim.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type Upstream} from './upstream.js';

/** The upstream chosen for a request, and the options of the request sent there. */
export type Placement = {
	readonly upstream: Upstream;
	readonly options: Omit<UpstreamRequestOptions, 'deadlineMs' | 'resumeAfter'>;
	/** Prompt tokens that the upstream is expected to prefill. */
	readonly missingTokens: number;
	/** Prompt tokens whose KV cache is fetched from a store or another engine. */
	readonly fetchedTokens: number;
	/** KV cache memory that the request takes at the upstream, in tokens. */
	readonly heldTokens: number;
	/** Priority at the engine; 0 is served first. */
	readonly priority: number;
	/** Predicted time to the first byte, in milliseconds. */
	readonly firstByteMs: number;
	/**
	Work that other hosts may have sent to an upstream since their last reports, in milliseconds. The larger it is, the larger
	are the differences between upstreams that the random term of the choice can outweigh.
	*/
	readonly unseenMs: number;
	/** Whether requests at the upstream wait for their first byte. */
	readonly isQueueing: boolean;
	/** Requests known to be in flight at the upstream. */
	readonly inFlight: number;
	/** Limit on them that follows the upstream's answers; `undefined` where there is none. */
	readonly inFlightLimit: number | undefined;
	/** Whether this is the upstream that all hosts prefer for the prompt's shared part. */
	readonly isHome: boolean;
	/** Weights of the upstream for the request's model; `undefined` for a request without a prompt. */
	readonly weights: PlacedWeights | undefined;
	/** What a claim of the place takes; `undefined` where the request is placed by reports. */
	readonly claimable?: {
		/** Time by which the upstream is ranked: predicted time to the first byte and penalties, in milliseconds. */
		readonly rankMs: number;
		/** Time until the upstream has prefilled the prompts ahead, in milliseconds. */
		readonly waitMs: number;
		/** Predicts again with the load that the ledger of the upstream quotes. */
		readonly predictWithQuote: (quote: LoadQuote) => Placement;
		/** Returns the placement at the upstream ranked next by reports. */
		readonly next: () => Placement | undefined;
	} | undefined;
	/** How the place was claimed. */
	readonly claim?: PlacementClaim | undefined;
	/** Records that the request is sent. */
	readonly recordSent: () => void;
};
