/** A limit on requests that an upstream stated in a response. Times are in milliseconds of this host's monotonic clock. */
export type StatedLimit = {
	/** Requests a second that the upstream takes from all hosts together; `undefined` when it stated none. */
	readonly requestsPerS: number | undefined;
	/** When the request was sent; the upstream stated the limit between `askedAt` and `answeredAt`. */
	readonly askedAt: number;
	/** When the head of the response arrived. */
	readonly answeredAt: number;
};
