import {type AttemptCounts} from './attempt-counts.js';
import {type SpentAttempts} from './spent-attempts.js';

/** What is known of a request after another host has had it. */
type GrantUse = {
	/** What had been spent before. */
	readonly before: SpentAttempts;
	/** Limits that the other host was to keep. */
	readonly granted: AttemptCounts;
	/** What the other host states as spent, at its answer's head. */
	readonly stated: SpentAttempts | undefined;
	/**
	- `unsent`: no connection to the other host could be opened;
	- `not-run`: the other host says that nothing ran there;
	- `unknown`: anything else.
	*/
	readonly outcome: 'unsent' | 'not-run' | 'unknown';
};

const clamp = (value: number, min: number, max: number): number => Math.max(min, Math.min(value, max));

/** Returns what has been spent of a request's attempts after another host has had it. What is not known counts as spent. */
export function settleGrant({before, granted, stated, outcome}: GrantUse): SpentAttempts {
	if (outcome === 'unsent') {
		return {...before, unsent: before.unsent + 1};
	}

	if (stated) {
		return {
			runs: clamp(stated.runs, before.runs, granted.runs),
			sends: clamp(stated.sends, before.sends, granted.sends),
			unsent: clamp(stated.unsent, before.unsent, granted.unsent),
			upstreams: [...new Set([...before.upstreams, ...stated.upstreams])],
		};
	}

	return outcome === 'not-run'
		? {...before, sends: before.sends + 1}
		: {...granted, upstreams: before.upstreams};
}
