import {type StoredPiece} from '../decide/routing/stored-piece.js';

/** Record of a piece at its shard's owner. It can be out of date; engines and stores are authoritative. */
export type PieceRecord = {
	readonly key: string;
	/** Engines that ran requests with the piece, most recent first. */
	readonly engines: readonly string[];
	/** Number of requests that used the piece before this lookup, as far as known; at least 1. */
	readonly uses: number;
	readonly stored?: StoredPiece;
};
