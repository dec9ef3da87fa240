import {type AttemptCounts} from './attempt-counts.js';

/** What has been spent of a request's attempts. */
export type SpentAttempts = AttemptCounts & {
	/** Ids of the upstreams that may have had the request. */
	readonly upstreams: readonly string[];
};
