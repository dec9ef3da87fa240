import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type Upstream} from './upstream.js';

/** Where a request is sent, and how. */
export type Placement = {
	readonly upstream: Upstream;
	readonly options: Omit<UpstreamRequestOptions, 'deadlineMs' | 'resumeAfter'>;
	/** Prompt tokens that the upstream is expected to read. */
	readonly missingTokens: number;
	/** Prompt tokens that are fetched from a store or another engine. */
	readonly fetchedTokens: number;
	/** Memory that the request takes at the upstream, in tokens. */
	readonly heldTokens: number;
	/** Rank at the engine; 0 is read first. */
	readonly priority: number;
	/** Predicted time to the first byte, in milliseconds. */
	readonly firstByteMs: number;
	/** Work that others may have placed at an upstream since their reports, in milliseconds; by its measure chance decided. */
	readonly unseenMs: number;
	/** Whether requests wait there for their first byte. */
	readonly isQueueing: boolean;
	/** Requests known to be in flight there. */
	readonly inFlight: number;
	/** Whether all hosts prefer this upstream for the request's shared part. */
	readonly isHome: boolean;
	/** Notes that the request is sent. */
	readonly recordSent: () => void;
};
