import {type UpstreamView} from './upstream-view.js';

/** An upstream with its predicted time to the first byte, in milliseconds. */
export type UpstreamCandidate = {
	readonly view: UpstreamView;
	readonly firstByteMs: number;
	/** Penalty in the ranking for an engine with stale weights, in milliseconds. */
	readonly staleWeightsPenaltyMs: number;
};
