import {type UpstreamView} from '../forwarding/upstream-view.js';
import {type LoadQuote} from './load-quote.js';

/**
Returns the state of an upstream with the quoted load in place of the reported one. While a ledger fills, for example after another host has
taken it over, the larger of both counts.
*/
export function applyQuote(view: UpstreamView, {inFlight, aheadTokens, isQueueing, heldTokens, isFilling}: LoadQuote): UpstreamView {
	return isFilling
		? {
			...view,
			inFlight: Math.max(view.inFlight, inFlight),
			waitingTokens: Math.max(view.waitingTokens, aheadTokens),
			isQueueing: view.isQueueing || isQueueing,
			heldTokens: Math.max(view.heldTokens, heldTokens),
		}
		: {
			...view, inFlight, waitingTokens: aheadTokens, isQueueing, heldTokens,
		};
}
