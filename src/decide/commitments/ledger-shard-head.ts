import {type LedgerRecord} from './ledger-record.js';

/** The only mutable object of a ledger shard. */
export type LedgerShardHead = {
	/** Number of the last write; each write adds one. */
	readonly number: number;
	/** Newest records, oldest first; not yet moved to a segment. */
	readonly records: readonly LedgerRecord[];
	/** Immutable segments of older records, oldest first; each segment is written before the first head that lists it. */
	readonly segments: ReadonlyArray<{readonly object: string; readonly bytes: number}>;
};
