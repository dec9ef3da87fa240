import {type StoredPiece} from '../decide/routing/stored-piece.js';

/** What a directory slice's owner believes of a piece. Engines and stores themselves are the truth. */
export type PieceRecord = {
	readonly key: string;
	/** Engines that ran the piece, newest first. */
	readonly engines: readonly string[];
	/** How often it was looked up. */
	readonly uses: number;
	readonly stored?: StoredPiece;
};
