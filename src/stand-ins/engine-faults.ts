/** Faults of the engine stand-in, set over `POST /control`. */
export type EngineFaults = {
	/** Closes every connection without an answer. */
	readonly down: boolean;
	/** A prompt with this text crashes the engine. */
	readonly crashMark: string;
	/** How long the engine stays away after a crash, in milliseconds. */
	readonly restartMs: number;
	/** Cuts streams after this many tokens; -1 never. */
	readonly cutAfter: number;
	/** Ends streams without an error and without their last event after this many tokens; -1 never. */
	readonly endAfter: number;
	/** Stops sending, with the connection open, after this many tokens; -1 never. */
	readonly stallAfter: number;
	/** Sends each token twice. */
	readonly duplicate: boolean;
	/** Sends the answer to another attempt. */
	readonly crossed: boolean;
	/** Says in its load report that it is leaving. */
	readonly leaving: boolean;
	/** Age of the load report, in milliseconds. */
	readonly loadLagMs: number;
	/** Drops every n-th cache event; 0 none. */
	readonly dropEvents: number;
	/** Checks fencing numbers of orders. */
	readonly checksOrders: boolean;
};
