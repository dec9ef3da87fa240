import {type CondemnedParts} from './condemned-parts.js';
import {poisonLimits} from './poison-limits.js';

const {retentionMs, trialDelaysMs, maxCondemned} = poisonLimits;

/** Decides which requests with condemned parts are sent all the same. */
type PartTrials = {
	/**
	Returns whether a request with condemned parts may be sent, and counts it.

	@param hasTurn - Returns whether it is this host's turn, given the name of the turn.
	*/
	readonly take: (condemned: CondemnedParts, now: number, hasTurn: (turn: string) => boolean) => boolean;
};

/**
Creates the trials. Fault pattern: other requests crashed the upstreams while nothing with these parts completed; refused, nothing can complete
and clear them. A few times, ever later, one request with the parts is sent by one host.
*/
export function createPartTrials(): PartTrials {
	/** The last turn taken, by parts. */
	const taken = new Map<string, {readonly turn: number; readonly until: number}>();

	return {
		take({parts, workspace, until}, now, hasTurn) {
			const key = [...parts, workspace ?? ''].join('\n');
			const condemnedAt = until - retentionMs;
			const turn = trialDelaysMs.filter(delayMs => now >= condemnedAt + delayMs).length;
			const last = taken.get(key);
			// Condemned again after the end of an earlier refusal, the parts are tried from the first turn on.
			const lastTurn = last && until - last.until < retentionMs / 2 ? last.turn : 0;
			if (turn <= lastTurn || !hasTurn(`${key}\n${turn}`)) {
				return false;
			}

			taken.delete(key);
			taken.set(key, {turn, until});
			if (taken.size > maxCondemned) {
				taken.delete(taken.keys().next().value!);
			}

			return true;
		},
	};
}
