import {type ExecutionStatus} from '../errors/execution-status.js';
import {type SseEventSplitter} from './sse-event-splitter.js';

/** What one request has been through at the forwarder. */
export type ForwardingProgress = {
	readonly service: string;
	/** Upstreams that it was sent to. */
	readonly triedUpstreams: Set<string>;
	/** When it has to end, in milliseconds of the steady clock. */
	readonly endsAt: number;
	/** Set where a broken stream may go on elsewhere. */
	readonly splitter: SseEventSplitter | undefined;
	sends: number;
	/** Sends after which it may have run. */
	runs: number;
	ran: ExecutionStatus;
	lastReason: string;
};
