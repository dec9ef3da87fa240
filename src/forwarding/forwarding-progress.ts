import {type ExecutionStatus} from '../errors/execution-status.js';
import {type SseEventSplitter} from '../streams/sse-event-splitter.js';
import {type AttemptTracker} from './attempt-tracker.js';

/** Progress of one request through the forwarder. */
export type ForwardingProgress = {
	readonly service: string;
	readonly attempts: AttemptTracker;
	/** Ids of the upstreams that this host has tried, or that others have sent the request to. */
	readonly triedUpstreams: Set<string>;
	/** Names of the hosts that were asked and have sent the request nowhere. */
	readonly idleHelpers: Set<string>;
	/** Names of the hosts that the request was handed on to and that may have sent it. */
	readonly usedHelpers: Set<string>;
	/** Deadline, in milliseconds of the monotonic clock. */
	readonly endsAt: number;
	/** Reads the events of a streaming route. */
	readonly splitter: SseEventSplitter | undefined;
	/** Software version that began the stream, once an event has reached the caller; only upstreams of it may go on. */
	begunVersion: string | undefined;
	/** Software version that the next upstream must have: the one that began the stream, or the only one at which it may begin here now. */
	softwareVersion: string | undefined;
	/** Whether another host began the stream, so that the version has to be asked for. */
	isVersionUnknown: boolean;
	/** Number of sends up to which they have been taken from the retry budget, the next one included; by the other host where it was handed on. */
	paidSends: number;
	/** Whether the request ran at an upstream, as far as known. */
	ran: ExecutionStatus;
	/** Why there is no delivered response yet; becomes the detail of a refusal. */
	lastReason: string;
};
