/** What one body holds of a budget. Times are in milliseconds of the monotonic clock. */
export type BodyAccount = {
	/**
	Asks for bytes to hold. A body that waits may ask again for the same bytes; `onGrant` is called when they are granted meanwhile.

	@returns `refused` if the body has to give up what it holds.
	*/
	readonly take: (bytes: number, now: number) => 'granted' | 'waiting' | 'refused';
	/** Records bytes that have arrived. */
	readonly receive: (bytes: number, now: number) => void;
	/** Records that the whole body has arrived; from then on it is not given up for others. */
	readonly complete: () => void;
	/** Releases everything. */
	readonly close: () => void;
};
