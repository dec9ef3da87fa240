import {type Refusal} from '../errors/refusal.js';

/** The answer that a caller gets; owned by one request. */
export type CallerResponse = {
	readonly isHeadSent: () => boolean;
	/** Sends the head; `headers` are names and values in turn. */
	readonly begin: (status: number, headers: readonly string[]) => void;
	/** @returns Whether more can be taken at once. */
	readonly write: (chunk: Buffer) => boolean;
	/** Calls back when more can be taken after `write` gave `false`. */
	readonly onDrain: (callback: () => void) => void;
	readonly end: () => void;
	/** Ends the answer so that it can't be taken for whole. */
	readonly abort: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
