import {type StoredPiece} from '../decide/routing/stored-piece.js';

/** Record of a piece at its shard's owner. It can be out of date; engines and stores are authoritative. */
export type PieceRecord = {
	readonly key: string;
	/** Engines that ran the piece, newest first. */
	readonly engines: readonly string[];
	/** How often the piece was looked up. */
	readonly uses: number;
	readonly stored?: StoredPiece;
};
