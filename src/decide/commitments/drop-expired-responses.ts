import {type LedgerRecord} from './ledger-record.js';

/**
Drops the bodies of responses older than `retentionMs`. The record of the key is never dropped, so that a request that is
sent again later can't run twice.

@param now - Wall-clock time, in milliseconds.
*/
export function dropExpiredResponses(records: readonly LedgerRecord[], retentionMs: number, now: number): readonly LedgerRecord[] {
	return records.map(record => {
		if (!record.answer || now - record.at < retentionMs) {
			return record;
		}

		const {answer, ...rest} = record;
		return {...rest, answer: {status: answer.status, contentType: answer.contentType}};
	});
}
