import {type StoredPiece} from './stored-piece.js';

/** What is known of a request when it is routed. */
export type RoutingInput = {
	/** Tokens of each piece of the prompt. */
	readonly pieceTokens: readonly number[];
	/** Where each piece is stored; `undefined` where it is not. */
	readonly stored: ReadonlyArray<StoredPiece | undefined>;
	/** Weights of the score, each relative to one second of time to first token. */
	readonly cost: {
		readonly firstToken: number;
		/** For each 1,000 recomputed tokens. */
		readonly recomputed: number;
		/** For each gigabyte over a store link. */
		readonly link: number;
	};
	/** Time that a store's link would take for so many bytes, in milliseconds. */
	readonly estimateFetchMs: (store: string, bytes: number) => number;
};
