import {type AttemptCounts} from './attempt-counts.js';

/**
What one other host may spend of a request's attempts. One run, since the whole grant counts as spent where the other host does not say what it
has done: then another one can still be asked.
*/
const grant: AttemptCounts = {runs: 1, sends: 3, unsent: 8};

/** Returns the limits for another host that a request is handed on to. */
export function grantAttempts(spent: AttemptCounts, limits: AttemptCounts): AttemptCounts {
	return {
		runs: Math.min(limits.runs, spent.runs + grant.runs),
		sends: Math.min(limits.sends, spent.sends + grant.sends),
		unsent: Math.min(limits.unsent, spent.unsent + grant.unsent),
	};
}
