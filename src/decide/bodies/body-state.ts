/** What a budget of bodies knows of one body. Times are in milliseconds of the monotonic clock. */
export type BodyState = {
	/** Workspace of the caller, or its address. */
	readonly owner: string;
	/** Whether the body was announced as one of an ordinary size. */
	readonly isSmall: boolean;
	readonly heldBytes: number;
	readonly receivedBytes: number;
	/** When bytes last arrived, or when this host last began to read. */
	readonly movedAt: number;
	/** Whether this host does not read the body until there is room. */
	readonly isWaiting: boolean;
	/** Whether the whole body has arrived; it is being forwarded. */
	readonly isComplete: boolean;
};
