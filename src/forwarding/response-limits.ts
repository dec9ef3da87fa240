const bytesPerMiB = 1024 * 1024;

/** Limits on the response of an upstream; its connection is closed past them. */
export const responseLimits = {
	/** Body of a response that is delivered. */
	bodyBytes: 64 * bytesPerMiB,
	/** One event of a stream. */
	eventBytes: bytesPerMiB,
	/** Body of a failure, which is kept until the request is known not to be sent again. */
	failureBytes: bytesPerMiB,
	/** What one response may keep besides; more than a caller leaves unread whose upstream is paused. */
	freeBytes: 96 * 1024,
	/** Rest of a response that is read only to keep its connection. */
	discardedBytes: 64 * 1024,
	/** Time for that rest, in milliseconds. */
	discardMs: 500,
	/** Bytes kept for a caller that reads more slowly than its upstream sends, where the upstream can't be paused. */
	undeliveredBytes: 4 * bytesPerMiB,
} as const;
