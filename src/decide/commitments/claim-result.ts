import {type StoredResponse} from './stored-response.js';

/** The decision on a claim. */
export type ClaimResult
	= | {readonly kind: 'granted'}
	/** The request of another claim of the key, with this id and holder, is still in progress. */
		| {readonly kind: 'running'; readonly id: string; readonly holder: string}
		| {readonly kind: 'done'; readonly answer: StoredResponse}
	/** The request of the claim with this id may have run; its outcome is not known. */
		| {readonly kind: 'unknown'; readonly id: string}
	/** The key was already used for a request with another route or body. */
		| {readonly kind: 'reused'}
	/** The holder released this claim before the claim itself was recorded. */
		| {readonly kind: 'given-up'};
