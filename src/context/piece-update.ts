import {type StoredPiece} from '../decide/routing/stored-piece.js';

/** Update of a piece's record, sent to the owner of its index shard. */
export type PieceUpdate = {
	readonly service: string;
	/** Determines the index shard: the same for all pieces of a prompt with a prompt cache key, otherwise the piece's own key. */
	readonly label: string;
	readonly key: string;
	readonly workspace: string;
	readonly tokens: number;
	/** Position of the piece in its prompt, from 0. */
	readonly depth: number;
	/** Engine that ran a request with the piece. */
	readonly engine?: string;
	/** Sealed block that holds the piece. */
	readonly stored?: StoredPiece;
	/** Whether the recorded block was found not to hold the piece. */
	readonly lost?: boolean;
};
