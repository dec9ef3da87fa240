import {type AttemptCounts} from '../attempts/attempt-counts.js';
import {type RouteKind} from '../../forwarding/route-kind.js';
import {type SendOutcome} from '../../forwarding/send-outcome.js';
import {mayRepeat} from './may-repeat.js';
import {type RetryDecision} from './retry-decision.js';

/** What has happened to a request so far. */
type RequestProgress = {
	readonly kind: RouteKind;
	/** Whether the route allows a broken stream to be resumed at another upstream. */
	readonly isResumable: boolean;
	/** What has been spent of its attempts, over all hosts. */
	readonly spent: AttemptCounts;
	readonly limits: AttemptCounts;
	/** Whether any byte of a response has been sent to the caller. */
	readonly hasBegun: boolean;
	/** Whether this stream can be resumed now: no event has been delivered, or the id of the last one is known. */
	readonly canResume: boolean;
};

/** Whether the request may run once more after what its caller has received. */
function mayContinue({kind, isResumable, canResume, hasBegun}: RequestProgress): boolean {
	return mayRepeat({kind, isResumable}) && (kind === 'stream' ? canResume : !hasBegun);
}

/**
Decides what follows a send. A request is sent again only if it was reported as not run or if the kind of its route allows a second run.
Fault pattern: upstreams that break off the connection, fail or refuse some of their requests.
*/
export function decideRetry(outcome: SendOutcome, progress: RequestProgress): RetryDecision {
	if (outcome.kind === 'answered') {
		return 'close';
	}

	const {spent, limits} = progress;
	const hasSendsLeft = spent.runs < limits.runs && spent.sends < limits.sends;
	if (outcome.kind === 'not-run') {
		return hasSendsLeft && spent.unsent < limits.unsent ? 'send-again' : 'close';
	}

	if (mayContinue(progress) && hasSendsLeft) {
		return 'send-again';
	}

	return outcome.kind === 'failed-answer' && !progress.hasBegun ? 'deliver-failure' : 'close';
}
