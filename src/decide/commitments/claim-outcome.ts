import {type StoredResponse} from './stored-response.js';

/** The reported outcome of a claim. The first three fields are those of the claim. */
export type ClaimOutcome = {
	readonly key: string;
	readonly digest: string;
	readonly id: string;
	/**
	`done`: the request ran, and `answer` holds its response. `released`: the request was provably never sent, so the key may
	be claimed again. `unknown`: the request may have run and is never sent again.
	*/
	readonly state: 'done' | 'released' | 'unknown';
	readonly answer?: StoredResponse;
};
