import {type SendOptions} from './send-options.js';
import {type Upstream} from './upstream.js';

/** Where a request is sent, and how. */
export type Placed = {
	readonly upstream: Upstream;
	readonly options: Omit<SendOptions, 'deadlineMs' | 'resumeAfter'>;
	/** Prompt tokens that the upstream is expected to read. */
	readonly missingTokens: number;
	/** Memory that the request takes at the upstream, in tokens. */
	readonly heldTokens: number;
	/** Requests known to be in flight there. */
	readonly inFlight: number;
	readonly reason: string;
};
