import {type Upstream} from '../../forwarding/upstream.js';

/** What a host knows of an upstream when it chooses one. */
export type UpstreamView = {
	readonly upstream: Upstream;
	/** Requests of all hosts in flight, as far as known. */
	readonly inFlight: number;
	/** Prompt tokens that are read before those of the request to be placed. */
	readonly waitingTokens: number;
	/** Whether requests wait there for their first byte. */
	readonly isQueueing: boolean;
	/** Memory that requests in flight take, in tokens. */
	readonly heldTokens: number;
	/** Whether requests wait there for unusually long and none is answered. */
	readonly isUnresponsive: boolean;
	/** Whether the upstream failed or refused lately and is passed over for a while. */
	readonly isEjected: boolean;
	/** Share of recent requests that failed, from 0 to 1. */
	readonly failureShare: number;
	/** Requests of this host that the connections still have room for. */
	readonly freeConnections: number;
};
