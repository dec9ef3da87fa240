import {type AttemptCounts} from './attempt-counts.js';
import {type SpentAttempts} from './spent-attempts.js';

/** What a host states of the attempts of a request that it hands on. */
export type StatedAttempts = {
	readonly spent: SpentAttempts;
	/** Limits that the other host keeps; they hold over all hosts, as the counts do. */
	readonly limits: AttemptCounts;
};
