/** What a proxy does with the bytes of its connections. */
export type LinkState = {
	/** Bytes from the caller's side are held until the link is whole again. */
	isCutIn: boolean;
	/** Bytes back to the caller's side are held. */
	isCutOut: boolean;
	/** Added to the way of each chunk, in milliseconds. */
	delayMs: number;
	/** New connections are reset. */
	isRefusing: boolean;
};
