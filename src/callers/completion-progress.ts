import {type ExecutionStatus} from '../errors/execution-status.js';

/** Progress of a request over its attempts. */
export type CompletionProgress = {
	/** Next token wanted. */
	offset: number;
	ran: ExecutionStatus;
	/** Version of the first attempt; a resumed stream stays on it. */
	version: string | undefined;
	/** Engines that failed it. */
	readonly failedEngines: Set<string>;
};
