import {type StatedAttempts} from '../decide/attempts/stated-attempts.js';
import {type Prompt} from './prompt.js';

/** The decoded head of a caller's request. */
export type CallerRequest = {
	/** The request id that the caller sent for this attempt; `undefined` if it sent none. */
	readonly id: string | undefined;
	readonly method: string;
	/** Path and query as sent. */
	readonly target: string;
	readonly host: string;
	readonly key: string | undefined;
	/** How long the caller waits for the response, in milliseconds. */
	readonly deadlineMs: number | undefined;
	/** Id of the last event that the caller received, if it resumes a stream. */
	readonly resumeAfter: string | undefined;
	/** Id of the request whose response brought the first event of the stream that the caller takes up; `undefined` where it names none. */
	readonly begunBy: string | undefined;
	/** What the request states of attempts spent; true only of requests that other hosts hand on. */
	readonly attempts: StatedAttempts | undefined;
	readonly prompt: Prompt | undefined;
	/** Headers forwarded to the upstream unchanged, as alternating names and values. */
	readonly headers: readonly string[];
};
