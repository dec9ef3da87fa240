import {type StatedAttempts} from '../decide/attempts/stated-attempts.js';

/** What a host that hands a request on to another one states of it, besides what the caller sent. */
export type RelayedRequestOptions = {
	/** Time left, in milliseconds. */
	readonly deadlineMs: number;
	/** Id of the last event that the caller has got. */
	readonly resumeAfter: string | undefined;
	/** Id of the request whose response brought the first event of the stream; `undefined` where none has. */
	readonly begunBy: string | undefined;
	readonly attempts: StatedAttempts;
};
