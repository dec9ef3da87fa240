/** Splits a stream of server-sent events into complete events and keeps the id of the last one passed on. */
export type SseEventSplitter = {
	/** Adds received bytes; returns the events that they complete. */
	readonly push: (chunk: Buffer) => Buffer;
	/** Returns the bytes held back; for the end of a complete response. */
	readonly flush: () => Buffer;
	/** Drops an incomplete event, after the stream was interrupted. */
	readonly reset: () => void;
	/** Returns the id of the last event passed on; `undefined` when none had an id. */
	readonly lastEventId: () => string | undefined;
	/** Whether the stream can be resumed after the events passed on: there were none, or the last one's id is known. */
	readonly canResume: () => boolean;
};
