import {type StoredPiece} from './stored-piece.js';

/** A request to be routed. */
export type RoutingInput = {
	/** Number of tokens of each piece of the prompt. */
	readonly pieceTokens: readonly number[];
	/** Stored copy of each piece; `undefined` for a piece that is not stored. */
	readonly stored: ReadonlyArray<StoredPiece | undefined>;
	/** Cost of each term of the score. */
	readonly cost: {
		/** For each second of time to first token. */
		readonly firstToken: number;
		/** For each 1,000 recomputed tokens. */
		readonly recomputed: number;
		/** For each gigabyte over a store link. */
		readonly link: number;
	};
	/** Returns the expected time to fetch that many bytes from a store, in milliseconds. */
	readonly estimateFetchMs: (store: string, bytes: number) => number;
};
