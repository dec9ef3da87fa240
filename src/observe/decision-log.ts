import {type Decision} from './decision.js';

/** Logs decisions and keeps those about the newest requests for `explain`. */
export type DecisionLog = {
	/** Logs a decision. */
	readonly record: (decision: Omit<Decision, 'at' | 'host'>) => void;
	/** Returns the stored decisions about a request, oldest first. */
	readonly listByRequest: (requestId: string) => readonly Decision[];
};
