/** A stream that a caller takes up, or that another host began for a request. Times are in milliseconds. */
export type TakenUpStream = {
	readonly service: string;
	/** Id of the request whose response brought the first event, as the caller names it. */
	readonly begunBy: string | undefined;
	readonly requestId: string;
	/** Name of the route. */
	readonly route: string;
	/** The longest that callers of the route are known to wait, from this request. */
	readonly waitMs: number;
	/** Deadline of the request, on the monotonic clock. */
	readonly endsAt: number;
};
