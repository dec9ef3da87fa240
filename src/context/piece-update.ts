import {type StoredPiece} from '../decide/routing/stored-piece.js';

/** News of a piece for its directory slice's owner. */
export type PieceUpdate = {
	readonly service: string;
	readonly label: string;
	readonly key: string;
	readonly workspace: string;
	readonly tokens: number;
	readonly depth: number;
	/** Engine that has run the piece. */
	readonly engine?: string;
	/** Block into which it was sealed. */
	readonly stored?: StoredPiece;
	/** The stored block proved not to hold the piece. */
	readonly lost?: boolean;
};
