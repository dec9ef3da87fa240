import {type LedgerRecord} from './ledger-record.js';

/** The one mutable object of a slice. */
export type LedgerShardHead = {
	/** Grows by one with every write. */
	readonly number: number;
	/** Newest records, in order. */
	readonly records: readonly LedgerRecord[];
	/** Immutable segments of older records, oldest first; each was written before the head that names it. */
	readonly segments: ReadonlyArray<{readonly object: string; readonly bytes: number}>;
};
