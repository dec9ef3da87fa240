import {type StoreEntry} from '../upstreams/store-entry.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type ContextAddition} from './context-addition.js';
import {type PieceRecord} from './piece-record.js';

/** The records of the slices that this host owns. */
export type Directory = {
	readonly lookup: (key: string, now: number) => PieceRecord | undefined;
	readonly add: (addition: ContextAddition, now: number) => void;
	/** Takes over a store's listing. */
	readonly list: (store: string, entries: readonly StoreEntry[], now: number) => void;
	/** Forgets every block of a store that has started anew. */
	readonly dropStore: (store: string) => void;
	/** Forgets what is not in the given slices any more. */
	readonly keepSlices: (isOwn: (tag: number) => boolean) => void;
	/** Forgets what no store holds and nobody has asked for lately. */
	readonly sweep: (now: number) => void;
	/** Takes out the least valuable of a sample of a store's pieces, below `value`, at most `count`. */
	readonly takeLeast: (store: string, value: number, count: number, now: number) => readonly StoredPiece[];
	/** Bytes that a workspace has stored in a store, as far as known. */
	readonly workspaceBytes: (store: string, workspace: string) => number;
	readonly size: () => number;
};
