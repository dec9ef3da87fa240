/** Faults of the engine stand-in, set over `POST /control`. */
export type EngineFaults = {
	/** Closes every connection without a response. */
	readonly down: boolean;
	/** Text that crashes the engine when a prompt contains it. */
	readonly crashMark: string;
	/** Time that the engine is down after a crash, in milliseconds. */
	readonly restartMs: number;
	/**
	Number of tokens of a completion after which streams are cut by closing the connection, which is the index of the first token not
	sent; -1 for never.
	*/
	readonly cutAfter: number;
	/** Number of tokens after which streams end normally but without their final event, counted as for `cutAfter`; -1 for never. */
	readonly endAfter: number;
	/** Number of tokens after which streams stall with the connection open, counted as for `cutAfter`; -1 for never. */
	readonly stallAfter: number;
	/** Sends each token twice. */
	readonly duplicate: boolean;
	/** Sends the id and the tokens of another attempt. */
	readonly crossed: boolean;
	/** Marks the engine as leaving in its load report. */
	readonly leaving: boolean;
	/** Age of the load report, in milliseconds. */
	readonly loadLagMs: number;
	/** Drops every n-th cache event; 0 for none. */
	readonly dropEvents: number;
	/** Refuses orders whose fencing token is older than the newest one. */
	readonly checksOrders: boolean;
};
