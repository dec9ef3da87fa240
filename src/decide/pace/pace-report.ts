import {type PaceState} from './pace-state.js';

/** What a host, or a collector for several hosts, states of the limit of one start of an upstream, with the answers under it. */
export type PaceReport = PaceState & {
	/** Answers on time to requests that were sent under this limit. */
	readonly onTime: number;
	/** Slow ones. */
	readonly slow: number;
};
