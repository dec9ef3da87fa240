/** Estimates transfer times over a store's link from past transfers. Times are in milliseconds. */
export type LinkEstimator = {
	/** Returns the expected time to transfer that many bytes after the transfers under way. */
	readonly estimateTransferMs: (bytes: number, now: number) => number;
	/** Records the start of a transfer. */
	readonly begin: (bytes: number) => void;
	/** Records a transfer that has completed. */
	readonly end: (bytes: number, tookMs: number, now: number) => void;
	/** Records a transfer that has failed. */
	readonly fail: (bytes: number, now: number) => void;
};
