import {type StoredResponse} from './stored-response.js';

/** One state of an idempotency key; the newest record of a key counts. The first four fields are those of the claim. */
export type LedgerRecord = {
	readonly key: string;
	readonly digest: string;
	readonly id: string;
	readonly holder: string;
	readonly state: 'claimed' | 'done' | 'released' | 'unknown';
	/** Wall-clock time of the record in milliseconds; used only to expire stored responses. */
	readonly at: number;
	readonly answer?: StoredResponse;
};
