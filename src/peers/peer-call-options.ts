/** Options of a call to a peer. */
export type PeerCallOptions = {
	/** Timeout of the whole call; 1000 by default. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};
