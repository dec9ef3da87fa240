/** Deployment that a trace belongs to: hosts, services and their capacities. Times are in milliseconds. */
export type Deployment = {
	readonly kind: 'deployment';
	readonly name: string;
	/** Number of hosts that receive requests; each keeps its own estimates of engine waits and links. */
	readonly hosts: number;
	/** One-way message latency between hosts. */
	readonly delayMs: number;
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly weight: number;
		readonly engines: number;
		readonly slots: number;
		readonly prefillTokensPerS: number;
		/** Time of a decoding step with one running request. */
		readonly stepMs: number;
		/** Time that each further running request adds to a step. */
		readonly stepAddedMs: number;
		/** Maximum number of pieces in an engine's prefix cache. */
		readonly cachePieces: number;
		readonly pieceTokens: number;
		readonly pieceBytes: number;
		readonly linkBytesPerS: number;
		/** Capacity of the service's KV store in memory. */
		readonly memoryPieces: number;
		/** Further capacity of the KV store on disk, which is read at half the link's speed. */
		readonly diskPieces: number;
		readonly deadlineMs: number;
		readonly queueLimit: number;
		/** Cost weights: per second until the first token, per 1000 recomputed tokens, and per 1e9 bytes over the store link. */
		readonly cost: {readonly firstToken: number; readonly recomputed: number; readonly link: number};
		readonly workspaces: ReadonlyArray<{readonly name: string; readonly weight: number}>;
	}>;
};
