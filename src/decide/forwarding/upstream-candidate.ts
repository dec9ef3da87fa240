import {type UpstreamView} from './upstream-view.js';

/** An upstream with the predicted time to its first byte, in milliseconds. */
export type UpstreamCandidate = {
	readonly view: UpstreamView;
	readonly firstByteMs: number;
	/** Time by which an engine with replaced weights is put back, in milliseconds. */
	readonly staleWeightsPenaltyMs: number;
};
