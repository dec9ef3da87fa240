import {type PieceRecord} from '../context/piece-record.js';
import {type PromptPiece} from '../decide/context/prompt-piece.js';
import {type RoutingPlan} from '../decide/routing/routing-plan.js';

/** Plan of a completion: its weight version, the prompt's pieces and the engines that can run it. */
export type CompletionPlan = {
	/** Weight version that the completion runs on. */
	readonly version: string;
	readonly pieces: readonly PromptPiece[];
	/** Label of each piece, which determines its shard of the piece index: the piece's key, or one label for all requests of the workspace with the same prompt cache key. */
	readonly labels: readonly string[];
	/** Record of each piece in the piece index, `undefined` where it has none. */
	readonly pieceRecords: ReadonlyArray<PieceRecord | undefined>;
	/** One plan for each engine, best first. */
	readonly routes: readonly RoutingPlan[];
};
