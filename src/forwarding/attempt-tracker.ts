import {type AttemptCounts} from '../decide/attempts/attempt-counts.js';
import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {type SendOutcome} from './send-outcome.js';

/** Counts the attempts of one request. A send counts as a run from its beginning, until it is known that nothing ran. */
export type AttemptTracker = {
	readonly limits: AttemptCounts;
	readonly spent: () => SpentAttempts;
	/** Begins a send to an upstream. */
	readonly begin: (upstreamId: string) => void;
	/** Ends the send that was begun last. */
	readonly settle: (outcome: SendOutcome) => void;
	/** Hands the request on: returns the limits for the other host, all of which count as spent until `settleGrant`. */
	readonly grant: (keepsLimits: boolean) => AttemptCounts;
	/** Ends the grant; `stated` is what the other host says. */
	readonly settleGrant: (outcome: SendOutcome, stated: SpentAttempts | undefined) => void;
};
