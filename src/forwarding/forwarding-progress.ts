import {type ExecutionStatus} from '../errors/execution-status.js';
import {type SseEventSplitter} from '../streams/sse-event-splitter.js';

/** Progress of one request through the forwarder. */
export type ForwardingProgress = {
	readonly service: string;
	/** Ids of the upstreams that the request was sent to. */
	readonly triedUpstreams: Set<string>;
	/** Deadline, in milliseconds of the monotonic clock. */
	readonly endsAt: number;
	/** Reads the events of a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Software version that began the stream, once an event has reached the caller; only upstreams of it may go on. */
	softwareVersion: string | undefined;
	/** Number of times that the request was sent. */
	sends: number;
	/** Number of sends after which the request may have run. */
	runs: number;
	/** Whether the request ran at an upstream, as far as known. */
	ran: ExecutionStatus;
	/** Why there is no delivered response yet; becomes the detail of a refusal. */
	lastReason: string;
};
