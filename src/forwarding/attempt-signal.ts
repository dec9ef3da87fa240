/** Ends an attempt to send a request. */
export type AttemptSignal = {
	readonly signal: AbortSignal;
	readonly abort: (reason: string) => void;
	/** Clears the timer and the listener. */
	readonly dispose: () => void;
};
