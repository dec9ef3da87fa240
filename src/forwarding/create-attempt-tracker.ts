import {grantAttempts} from '../decide/attempts/grant-attempts.js';
import {settleGrant} from '../decide/attempts/settle-grant.js';
import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {type StatedAttempts} from '../decide/attempts/stated-attempts.js';
import {type AttemptTracker} from './attempt-tracker.js';

/** Creates the tracker of a request that has arrived with some attempts spent. */
export function createAttemptTracker({spent: spentBefore, limits}: StatedAttempts): AttemptTracker {
	let spent: SpentAttempts = spentBefore;
	/** What was spent before the send or the grant that is under way. */
	let before = spent;
	let granted = limits;

	return {
		limits,
		spent: () => spent,
		begin(upstreamId) {
			before = spent;
			spent = {
				...before, runs: before.runs + 1, sends: before.sends + 1, upstreams: [...new Set([...before.upstreams, upstreamId])],
			};
		},
		settle(outcome) {
			if (outcome.kind === 'not-run') {
				spent = outcome.head ? {...spent, runs: before.runs} : {...before, unsent: before.unsent + 1};
			}
		},
		grant(keepsLimits) {
			before = spent;
			granted = keepsLimits ? grantAttempts(before, limits) : limits;
			spent = {...granted, upstreams: before.upstreams};
			return granted;
		},
		settleGrant(outcome, stated) {
			if (outcome.kind === 'not-run') {
				spent = settleGrant({
					before, granted, stated, outcome: outcome.head ? 'not-run' : 'unsent',
				});
			} else {
				spent = settleGrant({
					before, granted, stated, outcome: 'unknown',
				});
			}
		},
	};
}
