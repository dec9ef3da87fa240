/** A request sent to an upstream that has not ended. */
export type InFlightRequest = {
	/**
	Aborts the request and closes its connection, unless it has ended.

	@param isFault - Whether the upstream is at fault.
	*/
	readonly abort: (reason: Error, isFault: boolean) => void;
	/** Continues to deliver data after `onData` returned `false`. */
	readonly resume: () => void;
};
