/** Reads a stream of server-sent events: tells whether its last event is complete and, for a stream that may be resumed, keeps the id of the last one passed on. */
export type SseEventSplitter = {
	/** Whether another upstream can continue the stream, since incomplete events are held back. */
	readonly holdsBack: boolean;
	/** Begins a response; returns whether one that brought events before stated its media type, given whether this one does. */
	readonly begin: (isDeclared: boolean) => boolean;
	/** Adds received bytes; returns those to pass on now. */
	readonly push: (chunk: Buffer) => Buffer;
	/** Returns the bytes held back; for the end of a complete response that is no stream after all. */
	readonly flush: () => Buffer;
	/** Returns the number of bytes received after the last complete event. */
	readonly unfinishedBytes: () => number;
	/** Whether any complete event was passed on. */
	readonly hasEvents: () => boolean;
	/** Drops an incomplete event before the next upstream continues the stream. */
	readonly reset: () => void;
	/** Returns the id of the last event passed on; `undefined` when none had an id. */
	readonly lastEventId: () => string | undefined;
	/** Whether the stream can be resumed after the events passed on: there were none, or incomplete events are held back and the last id is known. */
	readonly canResume: () => boolean;
};
