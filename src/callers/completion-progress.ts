import {type ExecutionStatus} from '../errors/execution-status.js';

/** Progress of a completion across its attempts. */
export type CompletionProgress = {
	/** Index of the next token; earlier ones were already sent to the caller. */
	offset: number;
	/** Whether an engine has run the request. */
	ran: ExecutionStatus;
	/** Weight version of the latest attempt; a resumed stream must use the same. */
	version: string | undefined;
	/** Engines on which an attempt failed; later attempts exclude them. */
	readonly failedEngines: Set<string>;
};
