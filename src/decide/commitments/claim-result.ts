import {type StoredResponse} from './stored-response.js';

/** Answer to a claim. */
export type ClaimResult
	= | {readonly kind: 'granted'}
	/** Another claim of the key is being run. */
		| {readonly kind: 'running'; readonly id: string; readonly holder: string}
		| {readonly kind: 'done'; readonly answer: StoredResponse}
		| {readonly kind: 'unknown'; readonly id: string}
	/** The key was used for another request. */
		| {readonly kind: 'reused'}
	/** The holder gave this claim up before it was written. */
		| {readonly kind: 'given-up'};
