import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {log} from '../observe/log.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type Placement} from './placement.js';
import {sendOnce} from './send-once.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type SendOutcome} from './send-outcome.js';
import {type UpstreamRegistry} from './upstream-registry.js';

/** Share of the time left after which an idempotent request without an answer is sent elsewhere. */
const secondTryShare = 0.45;
const nothing = Buffer.alloc(0);

/** What the sender needs. */
type SenderOptions = {
	readonly book: UpstreamRegistry;
	readonly paceOf: (service: string) => ServiceLatencyModel;
	readonly encode: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	readonly now: () => number;
};

/** Creates the function that sends a request to the upstream it was placed at, once, within the time left. */
export function createSender({book, paceOf, encode, now}: SenderOptions) {
	return async (call: AdmittedRequest, track: ForwardingProgress, placed: Placement): Promise<SendOutcome> => {
		const {request, route, body, answer} = call;
		const {splitter, service} = track;
		const sentAt = now();
		const leftMs = track.endsAt - sentAt;
		const stop = new AbortController();
		const stopFor = (reason: string) => (): void => {
			stop.abort(new Error(reason));
		};

		const onGone = stopFor('the caller has gone');
		// A request that may not be repeated is finished for a caller that has gone, so that its outcome stands.
		if (route.kind !== 'once') {
			call.signal.addEventListener('abort', onGone, {once: true});
		}

		const endTimer = setTimeout(stopFor('time is over'), leftMs);
		const canTryAgain = route.kind === 'idempotent' && track.runs + 1 < route.maxAttempts;
		const secondTimer = canTryAgain ? setTimeout(stopFor('no answer in the time for one attempt'), leftMs * secondTryShare) : undefined;
		placed.recordSent();
		try {
			return await sendOnce({
				requestId: request.id!,
				answer,
				signal: stop.signal,
				filter: chunk => splitter ? splitter.push(chunk) : chunk,
				flush: () => splitter?.flush() ?? nothing,
				send: listener => book.send(placed.upstream.id, {
					method: request.method,
					target: request.target,
					headers: encode(request, {...placed.options, deadlineMs: leftMs, resumeAfter: splitter?.lastEventId() ?? request.resumeAfter}),
					body,
				}, {waitingTokens: placed.missingTokens, heldTokens: placed.heldTokens, priority: placed.priority}, listener),
				onDelivery({status}) {
					clearTimeout(secondTimer);
					paceOf(service).recordFirstByte(placed.firstByteMs, now() - sentAt);
					log.info({
						requestId: request.id!, upstream: placed.upstream.id, status, afterMs: Math.round(now() - call.receivedAt), predictedMs: Math.round(placed.firstByteMs),
					}, 'answer begins');
				},
			});
		} finally {
			clearTimeout(endTimer);
			clearTimeout(secondTimer);
			call.signal.removeEventListener('abort', onGone);
			paceOf(service).recordResidence(now() - sentAt);
		}
	};
}
