import {type ExecutionStatus} from '../errors/execution-status.js';
import {type SseEventSplitter} from '../streams/sse-event-splitter.js';

/** Progress of one request through the forwarder. */
export type ForwardingProgress = {
	readonly service: string;
	/** Ids of the upstreams that the request was sent to. */
	readonly triedUpstreams: Set<string>;
	/** Names of the hosts that the request was handed on to. */
	readonly triedHelpers: Set<string>;
	/** Deadline, in milliseconds of the monotonic clock. */
	readonly endsAt: number;
	/** Reads the events of a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Software version that began the stream, once an event has reached the caller; only upstreams of it may go on. */
	softwareVersion: string | undefined;
	/** Whether another host began the stream, so that the version has to be asked for. */
	isVersionUnknown: boolean;
	/** Number of times that the request was sent, to an upstream or another host. */
	sends: number;
	/** Number of times that no connection could be opened, so that nothing was sent. */
	unsent: number;
	/** Whether the next send has been taken from the retry budget. */
	isRetryPaid: boolean;
	/** Number of sends after which the request may have run. */
	runs: number;
	/** Whether the request ran at an upstream, as far as known. */
	ran: ExecutionStatus;
	/** Why there is no delivered response yet; becomes the detail of a refusal. */
	lastReason: string;
};
