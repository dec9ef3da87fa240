import {type PlacementResult} from './placement-result.js';

/** Gives back the slot of a brittle upstream that a placement has taken, if any, and ends its claim of a place. */
export function releaseRoom(result: PlacementResult): void {
	if ('releaseRoom' in result) {
		result.releaseRoom();
	}
}
