/** What a proxy does with the bytes of its connections. */
export type LinkFaults = {
	/** Bytes from the caller's side are held until the link is whole again. */
	isInboundBlocked: boolean;
	/** Bytes back to the caller's side are held. */
	isOutboundBlocked: boolean;
	/** Added to the way of each chunk, in milliseconds. */
	delayMs: number;
	/** New connections are reset. */
	refusesConnections: boolean;
};
