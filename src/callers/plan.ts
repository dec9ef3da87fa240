import {type PieceRecord} from '../context/piece-record.js';
import {type Piece} from '../decide/context/piece.js';
import {type Route} from '../decide/routing/route.js';

/** Where and how a request is to run, and what is known of its pieces. */
export type Plan = {
	readonly version: string;
	readonly pieces: readonly Piece[];
	readonly labels: readonly string[];
	readonly found: ReadonlyArray<PieceRecord | undefined>;
	readonly routes: readonly Route[];
};
