/** What a trace was recorded on. Times are in milliseconds. */
export type Deployment = {
	readonly kind: 'deployment';
	readonly name: string;
	/** Receiving hosts; each learns of waits and links by itself. */
	readonly hosts: number;
	/** Message time between hosts, one way. */
	readonly delayMs: number;
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly weight: number;
		readonly engines: number;
		readonly slots: number;
		readonly prefillTokensPerS: number;
		/** Time of a decoding step with one running request, and what each further one adds. */
		readonly stepMs: number;
		readonly stepAddedMs: number;
		/** Pieces that an engine caches. */
		readonly cachePieces: number;
		readonly pieceTokens: number;
		readonly pieceBytes: number;
		readonly linkBytesPerS: number;
		/** Pieces that the service's store holds in memory and on disk; the disk tier halves the link's speed. */
		readonly memoryPieces: number;
		readonly diskPieces: number;
		readonly deadlineMs: number;
		readonly queueLimit: number;
		readonly cost: {readonly firstToken: number; readonly recomputed: number; readonly link: number};
		readonly workspaces: ReadonlyArray<{readonly name: string; readonly weight: number}>;
	}>;
};
