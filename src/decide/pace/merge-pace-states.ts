import {type PaceState} from './pace-state.js';

/**
Returns the state with more setbacks; of two with equally many, the one whose limit has risen further. The result does not depend on the order of
merges, so states may be repeated, reordered or pass through collectors. Failure: reports between hosts that are lost or arrive late.
*/
export function mergePaceStates<T extends PaceState>(a: T, b: T): T {
	return b.setbacks > a.setbacks || (b.setbacks === a.setbacks && b.limit > a.limit) ? b : a;
}
