/** How a call to a peer is sent. */
export type PeerCallOptions = {
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};
