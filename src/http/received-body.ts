/** The whole body of a request. */
export type ReceivedBody = {
	readonly bytes: Buffer;
	/** Returns the memory to the budget, once the body is no longer needed. */
	readonly release: () => void;
};
