import {type Upstream} from '../../forwarding/upstream.js';
import {type PaceView} from '../pace/pace-view.js';

/** State of an upstream as this host sees it when it places a request. */
export type UpstreamView = {
	readonly upstream: Upstream;
	/** Requests in flight from all hosts, as far as known. */
	readonly inFlight: number;
	/** Prompt tokens that the upstream will prefill before those of the request to be placed. */
	readonly waitingTokens: number;
	/** Whether requests are waiting there for their first byte. */
	readonly isQueueing: boolean;
	/** KV cache memory that requests in flight take, in tokens. */
	readonly heldTokens: number;
	/** Whether requests have waited unusually long and the upstream has answered none meanwhile. */
	readonly isUnresponsive: boolean;
	/** Whether this host can reach the upstream, as far as known. */
	readonly isReachable: boolean;
	/** Whether the upstream is passed over for a while, after recent failures. */
	readonly isEjected: boolean;
	/** Share of recent requests that failed, from 0 to 1. */
	readonly failureShare: number;
	/** Number of further requests that this host's connections to the upstream can carry. */
	readonly freeConnections: number;
	/** Requests a second that the upstream takes from all hosts together; `undefined` without a limit. A request there needs a permit then. */
	readonly requestsPerS: number | undefined;
	/** Whether it is cold, so that a request there needs a permit; left out for services without a limit on cold upstreams. */
	readonly isCold?: boolean;
	/** For how long the limit leaves no room for this host, in milliseconds. */
	readonly closedForMs: number;
	/** Limit on the requests of all hosts in flight, from how the upstream answers; `undefined` where there is none. */
	readonly pace?: PaceView | undefined;
};
