import {type StoredPiece} from './stored-piece.js';

/** A scored way to run a request. */
export type RoutingPlan = {
	readonly engine: string;
	/** Weighted cost; the least is best. */
	readonly score: number;
	readonly firstTokenMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	/** Pieces to import before the run, in order. */
	readonly fetchPieces: readonly StoredPiece[];
};
