import {type ResponseFraming} from '../../http/response-framing.js';

/** A stream of events at the end of its response. */
type EndedStream = {
	readonly framing: ResponseFraming;
	/** Whether the response states that its body is a stream of events; without a statement, only its route says so. */
	readonly isDeclared: boolean;
	/** Bytes after the last complete event. */
	readonly unfinishedEventBytes: number;
	/** Whether the caller has got an event, from any upstream. */
	readonly hasEvents: boolean;
	/** Whether an earlier response, which brought events, stated that its body is a stream. */
	readonly wasDeclared: boolean;
	/** Bytes of complete events in this response. */
	readonly eventBytes: number;
	/** Whether the caller asked for what follows an earlier event; nothing may follow it. */
	readonly isResumedByCaller: boolean;
};

/**
Returns why a stream whose response ended regularly is incomplete; `undefined` if it is complete.
Fault pattern: upstreams that fail while they respond and whose connections are closed in an orderly way, so that the end of
the bytes does not show the end of the stream.
*/
export function findStreamFault({framing, isDeclared, unfinishedEventBytes, hasEvents, wasDeclared, eventBytes, isResumedByCaller}: EndedStream): string | undefined {
	// A body that is whole by its length or chunks and shows no event need not be a stream.
	const isStream = isDeclared || framing === 'close' || hasEvents;
	if (isStream && unfinishedEventBytes > 0) {
		return 'the stream ended inside an event';
	}

	// After a stream has broken off, only another stream can say that nothing follows.
	if (wasDeclared && eventBytes === 0 && !isDeclared) {
		return 'no upstream says that the stream has ended';
	}

	return framing === 'close' && !hasEvents && !isResumedByCaller ? 'the connection was closed before the first event' : undefined;
}
