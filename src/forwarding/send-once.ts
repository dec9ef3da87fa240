import {classifyResponse} from '../decide/forwarding/classify-response.js';
import {findStreamFault} from '../decide/forwarding/find-stream-fault.js';
import {isEventStream} from '../decide/forwarding/is-event-stream.js';
import {type ReceivedResponse} from './received-response.js';
import {type ResponseHead} from './response-head.js';
import {type CallerResponse} from './caller-response.js';
import {type SendOutcome} from './send-outcome.js';
import {type ResponseListener} from './response-listener.js';
import {type SseEventSplitter} from './sse-event-splitter.js';
import {type InFlightRequest} from './in-flight-request.js';

/** Longest error response of an upstream that is buffered; a longer one is not delivered. */
const maxBufferedFailureBytes = 1024 * 1024;

const emptyChunk = Buffer.alloc(0);

/** Options of one attempt to send a request to an upstream. */
type SendOnceOptions = {
	readonly requestId: string;
	readonly answer: CallerResponse;
	readonly send: (listener: ResponseListener) => InFlightRequest;
	/** Aborts the attempt: the caller disconnected, or the time is over. */
	readonly signal: AbortSignal;
	/** Reads the events of a response on a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Whether the caller asked for what follows an earlier event. */
	readonly isResumedByCaller: boolean;
	/** Called with the head of a response that is delivered. */
	readonly onDelivery: (head: ResponseHead) => void;
};

/** Sends a request once and delivers the response to the caller if it can be delivered. */
export async function sendOnce({requestId, answer, send, signal, splitter, isResumedByCaller, onDelivery}: SendOnceOptions): Promise<SendOutcome> {
	return new Promise(resolve => {
		let classified: {readonly responseClass: ReturnType<typeof classifyResponse>; readonly head: ResponseHead} | undefined;
		/** Set while the body is a stream of events. */
		let events: SseEventSplitter | undefined;
		const buffered: Buffer[] = [];
		let bufferedBytes = 0;
		let bodyBytes = 0;
		const onAbort = (): void => {
			running.abort(signal.reason instanceof Error ? signal.reason : new Error('given up'), false);
		};

		const describeReceived = ({framing, isCloseAnnounced}: ResponseHead): ReceivedResponse => ({
			framing, isCloseAnnounced, bodyBytes, unfinishedEventBytes: events?.unfinishedBytes() ?? 0,
		});

		const finish = (outcome: SendOutcome): void => {
			signal.removeEventListener('abort', onAbort);
			resolve(outcome);
		};

		const deliver = (chunk: Buffer): boolean => {
			const ready = events ? events.push(chunk) : chunk;
			if (ready.length === 0 || answer.write(ready)) {
				return true;
			}

			answer.onDrain(() => {
				running.resume();
			});
			return false;
		};

		/** @returns Whether the response was complete. */
		const endDelivery = (head: ResponseHead): boolean => {
			const received = describeReceived(head);
			const fault = events && findStreamFault({
				...received, isDeclared: head.mediaType !== undefined, hasEvents: events.hasEvents(), isResumedByCaller,
			});
			if (fault === undefined) {
				const rest = events?.flush() ?? emptyChunk;
				if (rest.length > 0) {
					answer.write(rest);
				}

				answer.end();
				finish({kind: 'answered', received});
			} else {
				finish({
					kind: 'broken', reason: fault, isGivenUp: false, received,
				});
			}

			return fault === undefined;
		};

		const running: InFlightRequest = send({
			onHead(head) {
				const responseClass = classifyResponse(head, requestId);
				classified = {responseClass, head};
				events = isEventStream(head) ? splitter : undefined;
				if (responseClass === 'unusable') {
					running.abort(new Error(`answer with status ${head.status} can not be used`), true);
				} else if (responseClass === 'deliver') {
					if (!answer.isHeadSent()) {
						answer.begin(head.status, head.headers);
					}

					onDelivery(head);
				}
			},
			onData(chunk) {
				bodyBytes += chunk.length;
				if (classified?.responseClass === 'deliver') {
					return deliver(chunk);
				}

				bufferedBytes += chunk.length;
				if (bufferedBytes <= maxBufferedFailureBytes) {
					buffered.push(chunk);
				}

				return true;
			},
			onEnd() {
				if (classified?.responseClass === 'deliver') {
					return endDelivery(classified.head);
				}

				if (classified?.responseClass === 'not-run') {
					finish({
						kind: 'not-run', reason: `upstream answered ${classified.head.status}`, head: classified.head, isGivenUp: false,
					});
				} else if (classified?.responseClass === 'failed' && bufferedBytes <= maxBufferedFailureBytes) {
					finish({kind: 'failed-answer', head: classified.head, body: Buffer.concat(buffered)});
				} else {
					finish({
						kind: 'broken', reason: 'the response cannot be used', isGivenUp: false, received: classified && describeReceived(classified.head),
					});
				}

				return true;
			},
			onFail(error, wasSent) {
				if (classified?.responseClass === 'not-run') {
					finish({
						kind: 'not-run', reason: `upstream answered ${classified.head.status}`, head: classified.head, isGivenUp: false,
					});
				} else if (wasSent) {
					finish({
						kind: 'broken', reason: String(error.message), isGivenUp: signal.aborted, received: classified && describeReceived(classified.head),
					});
				} else {
					finish({
						kind: 'not-run', reason: String(error.message), head: undefined, isGivenUp: signal.aborted,
					});
				}
			},
		});
		signal.addEventListener('abort', onAbort, {once: true});
		if (signal.aborted) {
			onAbort();
		}
	});
}
