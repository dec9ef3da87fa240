import {type RouteKind} from '../../forwarding/route-kind.js';
import {type SendOutcome} from '../../forwarding/send-outcome.js';
import {type RetryDecision} from './retry-decision.js';

/** What a request has been through. */
type RequestProgress = {
	readonly kind: RouteKind;
	readonly isResumable: boolean;
	readonly maxAttempts: number;
	/** Sends after which the request may have run. */
	readonly runs: number;
	/** Sends in all, those that an upstream proved not to have run included. */
	readonly sends: number;
	/** Whether bytes of an answer have gone to the caller. */
	readonly hasBegun: boolean;
	/** Whether a stream can go on at another upstream: no event was delivered, or the id of the last one is known. */
	readonly canResume: boolean;
};

/** Sends of one request that upstreams may turn away unrun; more would only add load where all upstreams are full. */
const maxSends = 5;

function mayRepeat({kind, isResumable, canResume, hasBegun}: RequestProgress): boolean {
	if (kind === 'idempotent') {
		return !hasBegun;
	}

	return kind === 'stream' && isResumable && canResume;
}

/**
Decides what follows a send. A request is repeated only if it is proved not to have run or if its kind allows a second run.
Fault pattern: upstreams that break off, fail or turn away part of their requests.
*/
export function decideRetry(outcome: SendOutcome, progress: RequestProgress): RetryDecision {
	if (outcome.kind === 'answered') {
		return 'close';
	}

	if (outcome.kind === 'not-run') {
		return progress.sends < maxSends ? 'send-again' : 'close';
	}

	if (mayRepeat(progress) && progress.runs < progress.maxAttempts && progress.sends < maxSends) {
		return 'send-again';
	}

	return outcome.kind === 'failed-answer' && !progress.hasBegun ? 'deliver-failure' : 'close';
}
