import {type UpstreamView} from './upstream-view.js';

/** An upstream with the predicted time to its first byte, in milliseconds. */
export type Candidate = {
	readonly view: UpstreamView;
	readonly firstByteMs: number;
	/** Time by which an engine with replaced weights is put back, in milliseconds. */
	readonly weightsMs: number;
};
