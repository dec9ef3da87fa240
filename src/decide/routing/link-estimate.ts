/** Learns the speed of a store's link. */
export type LinkEstimate = {
	/** Expected time for so many bytes behind the transfers under way, in milliseconds. */
	readonly expectMs: (bytes: number) => number;
	readonly begin: (bytes: number) => void;
	readonly end: (bytes: number, tookMs: number) => void;
	/** A transfer failed; its bytes are no longer under way. */
	readonly fail: (bytes: number) => void;
};
