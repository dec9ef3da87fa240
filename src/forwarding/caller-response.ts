import {type Refusal} from '../errors/refusal.js';

/** The response to one request of a caller. */
export type CallerResponse = {
	readonly isHeadSent: () => boolean;
	/** Sends the head; `headers` holds alternating names and values. */
	readonly begin: (status: number, headers: readonly string[]) => void;
	/** @returns Whether more can be written without waiting for `onDrain`. */
	readonly write: (chunk: Buffer) => boolean;
	/** Returns the number of bytes written that the caller has not read yet. */
	readonly pendingBytes: () => number;
	/** Calls `callback` once more can be written after `write` returned `false`. */
	readonly onDrain: (callback: () => void) => void;
	readonly end: () => void;
	/** Resets the connection, so that the caller can't mistake the response for a complete one. */
	readonly abort: () => void;
	/** Sends an error response, or resets the connection if the head has been sent already. */
	readonly refuse: (refusal: Refusal) => void;
};
