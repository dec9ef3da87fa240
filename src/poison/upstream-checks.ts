import {type Upstream} from '../forwarding/upstream.js';
import {type UpstreamOpinion} from './upstream-opinion.js';

/** Checks of upstreams by several hosts. */
export type UpstreamChecks = {
	/** Asks other hosts whether an upstream is up. */
	readonly askOthers: (upstream: Upstream) => Promise<UpstreamOpinion>;
	/** Answers another host of the upstream with an id that started at a time. */
	readonly answer: (id: string, startedAt: number | undefined) => Promise<UpstreamOpinion>;
};
