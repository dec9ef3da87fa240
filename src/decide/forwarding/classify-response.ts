import {type ResponseHead} from '../../forwarding/response-head.js';
import {type ResponseClass} from './response-class.js';

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Judges an upstream's answer to the request with `requestId`. Fault pattern: answers that come late, crossed or spoilt. */
export function classifyResponse(head: ResponseHead, requestId: string | undefined): ResponseClass {
	if (head.isNotRun) {
		return head.requestId === undefined || head.requestId === requestId ? 'not-run' : 'unusable';
	}

	// A promise that the request was not run can't be passed on where the upstream has not said so.
	if (head.requestId !== requestId || head.isEncoded || !head.isSigned || notRunStatuses.has(head.status)) {
		return 'unusable';
	}

	return head.status >= 500 ? 'failed' : 'deliver';
}
