import {type UpstreamView} from '../decide/forwarding/upstream-view.js';

/** What the choice of an upstream takes from claims of places. */
export type PlacementClaims = {
	/** Returns whether the place is claimed, by the estimated work per upstream that other hosts have placed since their last reports, in milliseconds. */
	readonly isUsed: (unseenMs: number) => boolean;
	/** Returns the state of an upstream for a request of a priority, with a recent quote in place of the reported load. */
	readonly applyQuotes: (view: UpstreamView, priority: number) => UpstreamView;
};
