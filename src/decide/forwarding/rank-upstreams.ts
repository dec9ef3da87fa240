import {type UpstreamView} from './upstream-view.js';

/** What a placement weighs. Times are in milliseconds. */
type PlacementCosts = {
	/** Prompt tokens that an engine reads in a millisecond. */
	readonly tokensPerMs: number;
	/** Time that each request in flight adds. */
	readonly requestMs: number;
	readonly otherDomainMs: number;
	/** Penalty of a certain failure. */
	readonly failureMs: number;
};

const avoidedMs = 1e6;
const silentMs = 1e5;
const fullMs = 1e7;
/** Above this share of its memory an engine preempts runs, which then read their prompts again. */
const fullShare = 0.85;
const shortMs = 400;

/** What is placed. */
type Placement = {
	readonly domain: string;
	/** Time until an upstream has the whole prompt, its queue apart, in milliseconds. */
	readonly readMs: (id: string) => number;
	/** Memory that the request takes, in tokens. */
	readonly heldTokens: number;
	/** Memory of an upstream, in tokens; `undefined` where that is no limit. */
	readonly memoryTokens: number | undefined;
	readonly costs: PlacementCosts;
	readonly random: () => number;
};

/**
Ranks upstreams by the expected time to the first byte, least first. Upstreams that failed lately, that are silent or to
which no connection is free come last, and serve only where no other is left. Load pattern: bursts that several hosts place
at once on reports that lag, so ties are broken at random.
*/
export function rankUpstreams(views: readonly UpstreamView[], {domain, readMs, heldTokens, memoryTokens, costs, random}: Placement): readonly UpstreamView[] {
	const score = (view: UpstreamView): number => {
		const {upstream, inFlight, waitingTokens, isSilent, isAvoided, failureShare, freeConnections} = view;
		const load = inFlight / Math.max(1, upstream.slots);
		const isShort = memoryTokens !== undefined && view.heldTokens + heldTokens > memoryTokens * fullShare;
		return (waitingTokens / costs.tokensPerMs)
			+ readMs(upstream.id)
			+ (isShort ? shortMs : 0)
			+ (inFlight * costs.requestMs)
			+ (load >= 1 ? load * costs.requestMs * upstream.slots : 0)
			+ (upstream.domain === domain ? 0 : costs.otherDomainMs)
			+ (failureShare * costs.failureMs)
			+ (isSilent ? silentMs : 0)
			+ (isAvoided ? avoidedMs : 0)
			+ (freeConnections > 0 ? 0 : fullMs)
			+ random();
	};

	return views
		.map(view => ({view, score: score(view)}))
		.toSorted((a, b) => a.score - b.score)
		.map(({view}) => view);
}
