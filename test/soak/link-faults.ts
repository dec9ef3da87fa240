/** Faults of the connections through a proxy. */
export type LinkFaults = {
	/** Bytes from the client are held back until this is reset. */
	isInboundBlocked: boolean;
	/** Bytes to the client are held back until this is reset. */
	isOutboundBlocked: boolean;
	/** Added latency of each chunk in milliseconds. */
	delayMs: number;
	/** New connections are reset. */
	refusesConnections: boolean;
};
