/** Passes whole events of a stream and keeps the id of the last one passed. */
export type SseEventSplitter = {
	/** Takes received bytes; gives the whole events that they complete. */
	readonly push: (chunk: Buffer) => Buffer;
	/** Gives the bytes held back, at the end of a whole answer. */
	readonly flush: () => Buffer;
	/** Drops a part of an event that will not be completed. */
	readonly reset: () => void;
	readonly lastEventId: () => string | undefined;
	/** Whether a stream can go on after what was passed: nothing was, or the id of the last event is known. */
	readonly canResume: () => boolean;
};
