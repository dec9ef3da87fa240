import {type LedgerRecord} from './ledger-record.js';

/** Drops answers older than `keepMs`. The key itself is never dropped, so that an old resend can't run again. */
export function dropExpiredResponses(records: readonly LedgerRecord[], retentionMs: number, now: number): readonly LedgerRecord[] {
	return records.map(record => {
		if (!record.answer || now - record.at < retentionMs) {
			return record;
		}

		const {answer, ...rest} = record;
		return {...rest, answer: {status: answer.status, contentType: answer.contentType}};
	});
}
