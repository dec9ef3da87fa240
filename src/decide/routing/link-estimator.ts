/** Learns how a store's link does. Times are in milliseconds. */
export type LinkEstimator = {
	/** Expected time for so many bytes behind the transfers under way. */
	readonly estimateTransferMs: (bytes: number, now: number) => number;
	readonly begin: (bytes: number) => void;
	readonly end: (bytes: number, tookMs: number, now: number) => void;
	/** A transfer failed; its bytes are no longer under way. */
	readonly fail: (bytes: number, now: number) => void;
};
