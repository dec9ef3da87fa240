import {type PlacedWeights} from './placed-weights.js';
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
	/** Records that the request is sent. */
	readonly recordSent: () => void;
};
