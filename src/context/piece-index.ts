import {type CacheStoreEntry} from '../upstreams/cache-store-entry.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type PieceUpdate} from './piece-update.js';
import {type PieceRecord} from './piece-record.js';

/** The records of the slices that this host owns. */
export type PieceIndex = {
	readonly lookup: (key: string, now: number) => PieceRecord | undefined;
	readonly add: (update: PieceUpdate, now: number) => void;
	/** Takes over a store's listing. */
	readonly applyListing: (store: string, entries: readonly CacheStoreEntry[], now: number) => void;
	/** Forgets every block of a store that has started anew. */
	readonly dropStore: (store: string) => void;
	/** Forgets what is not in the given slices any more. */
	readonly retainShards: (isOwn: (tag: number) => boolean) => void;
	/** Forgets what no store holds and nobody has asked for lately. */
	readonly removeExpired: (now: number) => void;
	/** Takes out the least valuable of a sample of a store's pieces, below `value`, at most `count`. */
	readonly takeLeastValuable: (store: string, maxScore: number, count: number, now: number) => readonly StoredPiece[];
	/** Bytes that a workspace has stored in a store, as far as known. */
	readonly workspaceBytes: (store: string, workspace: string) => number;
	readonly size: () => number;
};
