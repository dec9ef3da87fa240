import {type PaceView} from './pace-view.js';

/** What the choice needs to know of a candidate. */
type PacedCandidate = {
	readonly view: {readonly inFlight: number; readonly pace?: PaceView | undefined};
};

/**
Returns the candidates with room in their limits on requests in flight, or all where none has. Load pattern: upstreams that start beside a crest,
where hosts claim places, so that the number in flight is known exactly.
*/
export function preferWithRoom<T extends PacedCandidate>(candidates: readonly T[]): readonly T[] {
	const withRoom = candidates.filter(({view: {inFlight, pace}}) => !pace || inFlight < pace.limit);
	return withRoom.length > 0 ? withRoom : candidates;
}
