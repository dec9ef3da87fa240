import {type Ran} from '../errors/ran.js';

/** Progress of a request over its attempts. */
export type Progress = {
	/** Next token wanted. */
	offset: number;
	ran: Ran;
	/** Version of the first attempt; a resumed stream stays on it. */
	version: string | undefined;
	/** Engines that failed it. */
	readonly failed: Set<string>;
};
