import {createFinalRefusal} from '../decide/forwarding/create-final-refusal.js';
import {type FailureReason} from '../decide/forwarding/failure-reason.js';
import {log} from '../observe/log.js';
import {type AdmittedRequest} from './admitted-request.js';
import {describeAttempts} from './describe-attempts.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type ReceivedResponse} from './received-response.js';
import {retryAfterSpread} from './retry-after-spread.js';
import {type SendOutcome} from './send-outcome.js';

/** Ends of requests: the last bytes to the caller, and the line and figures of it. */
type RequestReporter = {
	/** Refuses a request, by default with a time to come back. */
	readonly refuse: (admitted: AdmittedRequest, progress: ForwardingProgress, reason: FailureReason, retryAfterMs?: number | 'never') => void;
	/** Records that a request has ended whose response is complete. */
	readonly recordEnd: (admitted: AdmittedRequest, progress: ForwardingProgress, result: string, received?: ReceivedResponse) => void;
	/** Ends the response to a caller that has disconnected. */
	readonly abort: (admitted: AdmittedRequest, progress: ForwardingProgress) => void;
	/** Delivers an upstream's complete error response. */
	readonly deliverFailure: (admitted: AdmittedRequest, progress: ForwardingProgress, outcome: Extract<SendOutcome, {kind: 'failed-answer'}>) => void;
};

/** Dependencies of the reporter. */
type RequestReporterOptions = {
	readonly now: () => number;
	readonly random: () => number;
	readonly onEnd: (admitted: AdmittedRequest, result: string, tookMs: number) => void;
};

/** Creates the reporter of requests' ends. */
export function createRequestReporter({now, random, onEnd}: RequestReporterOptions): RequestReporter {
	const refuse = (
		admitted: AdmittedRequest,
		progress: ForwardingProgress,
		reason: FailureReason,
		retryAfterMs: number | 'never' = retryAfterSpread.minMs + (random() * retryAfterSpread.spreadMs),
	): void => {
		const refusal = createFinalRefusal({
			reason, ran: progress.ran, detail: progress.lastReason, retryAfterMs: retryAfterMs === 'never' ? undefined : retryAfterMs,
		});
		const tookMs = now() - admitted.receivedAt;
		log.info({
			requestId: admitted.request.id!, route: admitted.route.name, service: progress.service, kind: refusal.kind,
			ran: refusal.ran, ...describeAttempts(progress),
			detail: progress.lastReason, retryAfterMs: retryAfterMs === 'never' ? undefined : Math.round(retryAfterMs), tookMs: Math.round(tookMs), begun: admitted.answer.isHeadSent(),
		}, 'refused');
		admitted.answer.refuse(refusal);
		onEnd(admitted, refusal.kind, tookMs);
	};

	const recordEnd = (admitted: AdmittedRequest, progress: ForwardingProgress, result: string, received?: ReceivedResponse): void => {
		const tookMs = now() - admitted.receivedAt;
		log.info({
			requestId: admitted.request.id!, route: admitted.route.name, service: progress.service, result,
			...describeAttempts(progress), tookMs: Math.round(tookMs), ...received,
		}, 'ended');
		onEnd(admitted, result, tookMs);
	};

	const abort = (admitted: AdmittedRequest, progress: ForwardingProgress): void => {
		admitted.answer.abort();
		recordEnd(admitted, progress, 'caller-gone');
	};

	const deliverFailure = (admitted: AdmittedRequest, progress: ForwardingProgress, {head, body}: Extract<SendOutcome, {kind: 'failed-answer'}>): void => {
		const {answer} = admitted;
		answer.begin(head.status, head.headers);
		answer.write(body);
		answer.end();
		recordEnd(admitted, progress, `upstream-${head.status}`);
	};

	return {
		refuse, recordEnd, abort, deliverFailure,
	};
}
