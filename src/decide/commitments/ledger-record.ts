import {type StoredResponse} from './stored-response.js';

/** The newest state of one idempotency key. */
export type LedgerRecord = {
	readonly key: string;
	readonly digest: string;
	readonly id: string;
	readonly holder: string;
	readonly state: 'claimed' | 'done' | 'released' | 'unknown';
	/** Wall-clock time of the record in milliseconds; only decides how long an answer is kept. */
	readonly at: number;
	readonly answer?: StoredResponse;
};
