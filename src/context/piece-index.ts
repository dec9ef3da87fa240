import {type CacheStoreEntry} from '../upstreams/cache-store-entry.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type PieceUpdate} from './piece-update.js';
import {type PieceRecord} from './piece-record.js';

/** The records of the index shards that this host owns. Times are wall-clock times in milliseconds. */
export type PieceIndex = {
	/** Returns the record of a piece and counts the use; `undefined` when the piece is unknown. */
	readonly lookup: (key: string, now: number) => PieceRecord | undefined;
	readonly add: (update: PieceUpdate, now: number) => void;
	/** Applies the changes that a store has listed. */
	readonly applyListing: (store: string, entries: readonly CacheStoreEntry[], now: number) => void;
	/** Removes every block of a store that has restarted. */
	readonly dropStore: (store: string) => void;
	/** Removes the pieces whose shard is no longer owned by this host. */
	readonly retainShards: (isOwn: (tag: number) => boolean) => void;
	/** Removes pieces that no store holds and that were not used for an hour. */
	readonly removeExpired: (now: number) => void;
	/** Clears and returns the stored blocks of at most `count` pieces with the lowest retention scores below `maxScore`, from a sample. */
	readonly takeLeastValuable: (store: string, maxScore: number, count: number, now: number) => readonly StoredPiece[];
	/** Returns the bytes that a workspace has in a store, as far as this host knows. */
	readonly workspaceBytes: (store: string, workspace: string) => number;
	/** Returns the number of pieces. */
	readonly size: () => number;
};
