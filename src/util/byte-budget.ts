/** Bytes that one holder keeps, out of a budget that all share. */
export type ByteAccount = {
	/**
	States how many bytes the holder would keep now.

	@returns Whether it may; if not, it has to let go of them.
	*/
	readonly keep: (bytes: number) => boolean;
	/** Lets go of all. */
	readonly close: () => void;
};

/** A budget of memory for bytes that are kept for many requests at once. */
export type ByteBudget = {
	readonly open: () => ByteAccount;
	/** Returns what all holders together keep beyond what is not counted. */
	readonly totalBytes: () => number;
};
