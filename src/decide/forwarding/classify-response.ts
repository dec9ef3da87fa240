import {type ResponseHead} from '../../forwarding/response-head.js';
import {isFinalStatus} from './is-final-status.js';
import {type ResponseClass} from './response-class.js';

/** Statuses that promise the caller that the request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
Classifies an upstream's response to the request with `requestId`. Fault pattern: responses that arrive late or in part, belong to another
request or are corrupted.
*/
export function classifyResponse(head: ResponseHead, requestId: string | undefined): ResponseClass {
	if (head.isMerged || !isFinalStatus(head.status)) {
		return 'unusable';
	}

	if (head.isNotRun) {
		return head.requestId === undefined || head.requestId === requestId ? 'not-run' : 'unusable';
	}

	// A response with one of `notRunStatuses` is unusable too: it would promise the caller that the request was not run, which this
	// upstream has not said.
	if (head.requestId !== requestId || head.isEncoded || !head.isSigned || notRunStatuses.has(head.status)) {
		return 'unusable';
	}

	return head.status >= 500 ? 'failed' : 'deliver';
}
