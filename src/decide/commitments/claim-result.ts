import {type StoredResponse} from './stored-response.js';

/** The decision on a claim. */
export type ClaimResult
	= | {readonly kind: 'granted'}
	/** The request of another claim of the key is still in progress. */
		| {readonly kind: 'running'; readonly id: string; readonly holder: string}
		| {readonly kind: 'done'; readonly answer: StoredResponse}
		| {readonly kind: 'unknown'; readonly id: string}
	/** The key was already used for a request with another route or body. */
		| {readonly kind: 'reused'}
	/** The holder released this claim before the claim itself was recorded. */
		| {readonly kind: 'given-up'};
