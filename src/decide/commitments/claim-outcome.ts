import {type StoredResponse} from './stored-response.js';

/** What became of a claim. */
export type ClaimOutcome = {
	readonly key: string;
	readonly digest: string;
	readonly id: string;
	/**
	`done`: run, with its answer. `released`: proved unsent; the key may be claimed again.
	`unknown`: may have run; never sent again.
	*/
	readonly state: 'done' | 'released' | 'unknown';
	readonly answer?: StoredResponse;
};
