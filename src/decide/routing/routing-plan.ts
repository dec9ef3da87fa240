import {type StoredPiece} from './stored-piece.js';

/** A plan to run a request on an engine, with its score. */
export type RoutingPlan = {
	readonly engine: string;
	/** Weighted cost; lower is better. */
	readonly score: number;
	/** Expected time to the first token. */
	readonly firstTokenMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	/** Pieces to import into the engine before the run, in order. */
	readonly fetchPieces: readonly StoredPiece[];
};
