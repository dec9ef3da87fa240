import {type PieceRecord} from '../context/piece-record.js';
import {type PromptPiece} from '../decide/context/prompt-piece.js';
import {type RoutingPlan} from '../decide/routing/routing-plan.js';

/** Where and how a request is to run, and what is known of its pieces. */
export type CompletionPlan = {
	readonly version: string;
	readonly pieces: readonly PromptPiece[];
	readonly labels: readonly string[];
	readonly pieceRecords: ReadonlyArray<PieceRecord | undefined>;
	readonly routes: readonly RoutingPlan[];
};
