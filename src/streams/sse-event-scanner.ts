/** Finds the ends of events in a stream of server-sent events, in bytes that arrive in pieces. */
export type SseEventScanner = {
	/** Scans the next bytes; returns the index after the last event that they complete, or 0 if they complete none. */
	readonly scan: (chunk: Buffer) => number;
	/** Returns the number of bytes since the end of the last complete event. */
	readonly unfinishedBytes: () => number;
};
