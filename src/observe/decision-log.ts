import {type Decision} from './decision.js';

/** Logs decisions and keeps the newest for `explain`. */
export type DecisionLog = {
	/** Logs a decision. */
	readonly record: (decision: Omit<Decision, 'at' | 'host'>) => void;
	/** Gives the kept decisions about a request. */
	readonly listByRequest: (requestId: string) => readonly Decision[];
};
