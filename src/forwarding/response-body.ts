import {type SendOutcome} from './send-outcome.js';

/** Takes the body of one response and says at its end what came of the send. */
export type ResponseBody = {
	/** @returns Whether more can be accepted now; see `ResponseListener`. */
	readonly push: (chunk: Buffer) => boolean;
	/** Called when the response ended regularly. */
	readonly end: () => SendOutcome;
};
