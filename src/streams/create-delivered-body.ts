import {findStreamFault} from '../decide/forwarding/find-stream-fault.js';
import {isEventStream} from '../decide/forwarding/is-event-stream.js';
import {type CallerResponse} from '../forwarding/caller-response.js';
import {type ReceivedResponse} from '../forwarding/received-response.js';
import {type ResponseHead} from '../forwarding/response-head.js';
import {responseLimits} from '../forwarding/response-limits.js';
import {type ResponseBody} from '../forwarding/response-body.js';
import {type ByteAccount} from '../util/byte-budget.js';
import {type SseEventSplitter} from './sse-event-splitter.js';

/** Options of `createDeliveredBody`. */
type DeliveredBodyOptions = {
	readonly head: ResponseHead;
	readonly answer: CallerResponse;
	/** Reads the events of a response on a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Whether the caller asked for what follows an earlier event. */
	readonly isResumedByCaller: boolean;
	/** What the host keeps of this response. */
	readonly kept: ByteAccount;
	readonly describeReceived: () => ReceivedResponse;
	/** Aborts the response. */
	readonly abort: (reason: string, isFault: boolean) => void;
	/** Continues a response that was paused. */
	readonly resume: () => void;
};

/** Creates the body of a response that is delivered to the caller as it arrives. */
export function createDeliveredBody(options: DeliveredBodyOptions): ResponseBody {
	const {head, answer, splitter, isResumedByCaller, kept, describeReceived, abort, resume} = options;
	const events = isEventStream(head) ? splitter : undefined;

	const isDeclared = head.mediaType !== undefined;
	const wasDeclared = events?.begin(isDeclared) ?? false;
	let eventBytes = 0;
	let isWaitingForCaller = false;

	const waitForCaller = (): void => {
		if (isWaitingForCaller) {
			return;
		}

		isWaitingForCaller = true;
		answer.onDrain(() => {
			isWaitingForCaller = false;
			resume();
		});
	};

	const write = (chunk: Buffer): boolean => {
		if (chunk.length === 0 || answer.write(chunk)) {
			return true;
		}

		if (answer.pendingBytes() > responseLimits.undeliveredBytes) {
			abort('the caller reads too slowly', false);
			return false;
		}

		waitForCaller();
		return false;
	};

	return {
		push(chunk) {
			const ready = events ? events.push(chunk) : chunk;
			eventBytes += ready.length;
			if (describeReceived().bodyBytes > responseLimits.bodyBytes) {
				abort(`the body exceeds ${responseLimits.bodyBytes} bytes`, true);
				return false;
			}

			if (events && events.unfinishedBytes() > responseLimits.eventBytes) {
				abort(`an event exceeds ${responseLimits.eventBytes} bytes`, true);
				return false;
			}

			const canTakeMore = write(ready);
			if (!kept.keep((events?.unfinishedBytes() ?? 0) + answer.pendingBytes())) {
				abort('responses keep too many bytes, this one is given up', false);
				return false;
			}

			return canTakeMore;
		},
		end() {
			const received = describeReceived();
			const fault = events && findStreamFault({
				...received, isDeclared, wasDeclared, hasEvents: events.hasEvents(), eventBytes, isResumedByCaller,
			});
			if (fault !== undefined) {
				return {
					kind: 'broken', reason: fault, isGivenUp: false, received,
				};
			}

			if (events) {
				write(events.flush());
			}

			answer.end();
			return {kind: 'answered', received};
		},
	};
}
