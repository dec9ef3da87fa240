import {classifyResponse} from '../decide/forwarding/classify-response.js';
import {isEventStream} from '../decide/forwarding/is-event-stream.js';
import {createDeliveredBody} from '../streams/create-delivered-body.js';
import {type SseEventSplitter} from '../streams/sse-event-splitter.js';
import {type ByteBudget} from '../util/byte-budget.js';
import {type ResponseBody} from './response-body.js';
import {type CallerResponse} from './caller-response.js';
import {createFailureBody} from './create-failure-body.js';
import {type InFlightRequest} from './in-flight-request.js';
import {type ReceivedResponse} from './received-response.js';
import {type ResponseHead} from './response-head.js';
import {responseLimits} from './response-limits.js';
import {type ResponseListener} from './response-listener.js';
import {type SendOutcome} from './send-outcome.js';

/** Options of one attempt to send a request to an upstream. */
type SendOnceOptions = {
	readonly requestId: string;
	readonly answer: CallerResponse;
	/** What the host keeps of responses, all together. */
	readonly keptBytes: ByteBudget;
	readonly send: (listener: ResponseListener) => InFlightRequest;
	/** Aborts the attempt: the caller disconnected, or the time is over. */
	readonly signal: AbortSignal;
	/** Reads the events of a response on a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Whether the caller asked for what follows an earlier event. */
	readonly isResumedByCaller: boolean;
	/** Called with the head of a response that is delivered. */
	readonly onDelivery: (head: ResponseHead) => void;
	/** Called once the first event of this response has been passed on. */
	readonly onFirstEvent: () => void;
};

/** Removes the stated length: the part of another upstream may be longer or shorter. */
function removeContentLength(headers: readonly string[]): readonly string[] {
	const isKept = (index: number): boolean => headers[index - (index % 2)]!.toLowerCase() !== 'content-length';
	return headers.filter((_, index) => isKept(index));
}

/** Sends a request once and delivers the response to the caller if it can be delivered. */
export async function sendOnce({requestId, answer, keptBytes, send, signal, splitter, isResumedByCaller, onDelivery, onFirstEvent}: SendOnceOptions): Promise<SendOutcome> {
	return new Promise(resolve => {
		const kept = keptBytes.open();
		let head: ResponseHead | undefined;
		/** Takes the body; without one, the rest of the response is discarded. */
		let body: ResponseBody | undefined;
		let bodyBytes = 0;
		let discardTimer: NodeJS.Timeout | undefined;
		let isDelivered = false;
		let hasEvent = false;

		const abort = (reason: string, isFault: boolean): void => {
			running.abort(new Error(reason), isFault);
		};

		const onAbort = (): void => {
			running.abort(signal.reason instanceof Error ? signal.reason : new Error('given up'), false);
		};

		const finish = (outcome: SendOutcome): void => {
			signal.removeEventListener('abort', onAbort);
			kept.close();
			resolve(outcome);
		};

		const describeReceived = ({framing, isCloseAnnounced}: ResponseHead): ReceivedResponse => ({
			framing, isCloseAnnounced, bodyBytes, unfinishedEventBytes: splitter?.unfinishedBytes() ?? 0,
		});

		/** The outcome is known from the head; the rest is read so that the connection can serve further requests. */
		const finishNotRun = (notRunHead: ResponseHead): void => {
			discardTimer = setTimeout(() => {
				abort('the rest of the response takes too long', true);
			}, responseLimits.discardMs);
			finish({
				kind: 'not-run', reason: `upstream answered ${notRunHead.status}`, head: notRunHead, isGivenUp: false,
			});
		};

		const reject = (unusable: ResponseHead): void => {
			const reason = `answer with status ${unusable.status} can not be used`;
			body = {
				push: () => true,
				end: () => ({
					kind: 'broken', reason, isGivenUp: false, received: describeReceived(unusable),
				}),
			};
			abort(reason, true);
		};

		const startDelivery = (delivered: ResponseHead): void => {
			if (answer.isHeadSent() && !isEventStream(delivered)) {
				// The caller has the head of a stream, which nothing else can continue.
				reject(delivered);
				return;
			}

			if (!answer.isHeadSent()) {
				const mayBeContinued = splitter?.holdsBack && isEventStream(delivered);
				answer.begin(delivered.status, mayBeContinued ? removeContentLength(delivered.headers) : delivered.headers);
			}

			body = createDeliveredBody({
				head: delivered, answer, splitter, isResumedByCaller, kept, abort,
				describeReceived: () => describeReceived(delivered),
				resume() {
					running.resume();
				},
			});
			isDelivered = true;
			onDelivery(delivered);
		};

		const reportFirstEvent = (): void => {
			if (!hasEvent && isDelivered && splitter?.hasEvents()) {
				hasEvent = true;
				onFirstEvent();
			}
		};

		const running: InFlightRequest = send({
			onHead(received) {
				head = received;
				switch (classifyResponse(received, requestId)) {
					case 'unusable': {
						reject(received);
						break;
					}

					case 'not-run': {
						finishNotRun(received);
						break;
					}

					case 'failed': {
						body = createFailureBody(received, kept, abort);
						break;
					}

					case 'deliver': {
						startDelivery(received);
						break;
					}
				}
			},
			onData(chunk) {
				bodyBytes += chunk.length;
				if (body) {
					const canTakeMore = body.push(chunk);
					reportFirstEvent();
					return canTakeMore;
				}

				if (bodyBytes > responseLimits.discardedBytes) {
					abort(`the rest of the response exceeds ${responseLimits.discardedBytes} bytes`, true);
				}

				return true;
			},
			onEnd() {
				clearTimeout(discardTimer);
				const outcome = body?.end();
				if (outcome) {
					finish(outcome);
				}

				return outcome?.kind !== 'broken';
			},
			onFail(error, wasSent) {
				clearTimeout(discardTimer);
				if (wasSent) {
					finish({
						kind: 'broken', reason: String(error.message), isGivenUp: signal.aborted, received: head && describeReceived(head),
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
