import {type Placement} from './placement.js';

/** Returns the fields of a log line that state the weights with which an upstream is to run a request, and how long there have been newer ones. */
export function describeWeights({weights}: Pick<Placement, 'weights'>): {readonly weights?: number; readonly staleForMs?: number | 'unknown'} {
	if (!weights) {
		return {};
	}

	const {version, staleForMs} = weights;
	if (staleForMs === undefined) {
		return {weights: version};
	}

	return {weights: version, staleForMs: Number.isFinite(staleForMs) ? Math.round(staleForMs) : 'unknown'};
}
