import {type LedgerRecord} from './ledger-record.js';

/** Keeps the newest record of each key, in the order of their writing. */
export function compactRecords(records: readonly LedgerRecord[]): readonly LedgerRecord[] {
	const latest = new Map<string, LedgerRecord>();
	for (const record of records) {
		latest.delete(record.key);
		latest.set(record.key, record);
	}

	return [...latest.values()];
}
