import {type LedgerRecord} from './ledger-record.js';

/** Returns the newest record of each key, in the order in which these were written. */
export function compactRecords(records: readonly LedgerRecord[]): readonly LedgerRecord[] {
	const latest = new Map<string, LedgerRecord>();
	for (const record of records) {
		latest.delete(record.key);
		latest.set(record.key, record);
	}

	return [...latest.values()];
}
