import {toDelayMs} from '../util/to-delay-ms.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type AttemptSignal} from './attempt-signal.js';

/** Share of the remaining time after which an idempotent request without a response is sent to another upstream. */
const firstAttemptShare = 0.45;

/** Starts the timer that ends an attempt so that time is left for another one, if one is allowed; returns the function that stops it. */
export function startAttemptTimer({route, attempts}: AdmittedRequest, attempt: AttemptSignal, leftMs: number): () => void {
	const canRetry = route.kind === 'idempotent' && attempts.spent().runs < attempts.limits.runs;
	const timer = canRetry ? setTimeout(attempt.abort, toDelayMs(leftMs * firstAttemptShare), 'no answer within the time for one attempt') : undefined;
	return () => {
		clearTimeout(timer);
	};
}
