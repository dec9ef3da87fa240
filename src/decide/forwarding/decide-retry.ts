import {type RouteKind} from '../../forwarding/route-kind.js';
import {type SendOutcome} from '../../forwarding/send-outcome.js';
import {type RetryDecision} from './retry-decision.js';

/** What has happened to a request so far. */
type RequestProgress = {
	readonly kind: RouteKind;
	/** Whether the route allows a broken stream to be resumed at another upstream. */
	readonly isResumable: boolean;
	/** Limit on `runs`, from the route. */
	readonly maxAttempts: number;
	/** Sends after which the request may have run. */
	readonly runs: number;
	/** All sends, including those that upstreams reported as not run. */
	readonly sends: number;
	/** Times that no connection could be opened, so that nothing was sent. */
	readonly unsent: number;
	/** Whether any byte of a response has been sent to the caller. */
	readonly hasBegun: boolean;
	/** Whether this stream can be resumed now: no event has been delivered, or the id of the last one is known. */
	readonly canResume: boolean;
};

/** Limit on the sends of one request; more would only add load when all upstreams are full. */
const maxSends = 5;
/** Limit on failed connections of one request; each marks its upstream as out of reach. */
const maxUnsent = 16;

function mayRepeat({kind, isResumable, canResume, hasBegun}: RequestProgress): boolean {
	if (kind === 'idempotent') {
		return !hasBegun;
	}

	return kind === 'stream' && isResumable && canResume;
}

/**
Decides what follows a send. A request is sent again only if it was reported as not run or if the kind of its route allows a second run.
Fault pattern: upstreams that break off the connection, fail or refuse some of their requests.
*/
export function decideRetry(outcome: SendOutcome, progress: RequestProgress): RetryDecision {
	if (outcome.kind === 'answered') {
		return 'close';
	}

	if (outcome.kind === 'not-run') {
		return progress.sends < maxSends && progress.unsent < maxUnsent ? 'send-again' : 'close';
	}

	if (mayRepeat(progress) && progress.runs < progress.maxAttempts && progress.sends < maxSends) {
		return 'send-again';
	}

	return outcome.kind === 'failed-answer' && !progress.hasBegun ? 'deliver-failure' : 'close';
}
