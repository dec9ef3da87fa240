import {type ForwardingProgress} from './forwarding-progress.js';

/** Returns the fields of a log line that state what has been spent of a request's attempts, over all hosts. */
export function describeAttempts({attempts}: ForwardingProgress): {readonly sends: number; readonly runs: number} {
	const {sends, runs} = attempts.spent();
	return {sends, runs};
}
