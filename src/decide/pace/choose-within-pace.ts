import {type PaceView} from './pace-view.js';

/** What the choice needs to know of a candidate. */
type PacedCandidate = {
	readonly view: {
		readonly upstream: {readonly id: string};
		readonly inFlight: number;
		readonly isUnresponsive: boolean;
		readonly isEjected: boolean;
		readonly pace?: PaceView | undefined;
	};
};

/** Dependencies of the choice. */
type PacedChoiceOptions<T extends PacedCandidate> = {
	/** Chooses the best of some candidates, as without limits. */
	readonly choose: (candidates: readonly T[]) => T | undefined;
	/** Whether the first byte would come too late there. */
	readonly isLate: (candidate: T) => boolean;
	/**
	Draws whether a request may be sent to a limited upstream.

	@param limit - Requests of all hosts in flight that are allowed for this one.
	*/
	readonly tryTake: (view: T['view'], limit: number) => boolean;
};

/** Limited upstreams that are tried for one request; after that, it goes to one that is warm. */
const maxTried = 3;
/** Where all others are late, this many times the limit may be in flight: about one more answer's time in the queue. */
const lateFactor = 2;

const isUsable = ({view}: PacedCandidate): boolean => !view.isUnresponsive && !view.isEjected;

/**
Chooses the upstream of a request within the limits on requests in flight. Those at their limit are left out while another one is usable and in time, then those that are
not warm. Where none is, the least loaded of all is used, except that a limited upstream takes no more than `lateFactor` times its limit while others are usable. Load
pattern: upstreams that start while the others are busy, so that the shortest queue is that of the upstream which is slowest.
*/
export function chooseWithinPace<T extends PacedCandidate>(candidates: readonly T[], {choose, isLate, tryTake}: PacedChoiceOptions<T>): T | undefined {
	if (candidates.every(({view}) => !view.pace)) {
		return choose(candidates);
	}

	let left = candidates.filter(({view}) => !view.pace || view.inFlight < view.pace.limit);
	for (let tried = 0; tried < maxTried; tried++) {
		const best = choose(left);
		if (!best || !isUsable(best) || isLate(best)) {
			break;
		}

		const {upstream: {id}, pace} = best.view;
		if (!pace?.isLimited || tryTake(best.view, pace.limit)) {
			return best;
		}

		left = left.filter(({view}) => view.upstream.id !== id);
	}

	// Warm ones that are full come before those that are not warm: their queues move at full speed.
	const warm = choose(candidates.filter(({view}) => !view.pace?.isLimited));
	if (warm && isUsable(warm) && !isLate(warm)) {
		return warm;
	}

	const leastLoaded = choose(candidates);
	if (!leastLoaded?.view.pace?.isLimited || !warm || !isUsable(warm)) {
		return leastLoaded;
	}

	return tryTake(leastLoaded.view, leastLoaded.view.pace.limit * lateFactor) ? leastLoaded : warm;
}
