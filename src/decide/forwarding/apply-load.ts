import {type UpstreamLoad} from '../../reports/upstream-load.js';
import {type UpstreamLoadTotal} from './upstream-load-total.js';

/** Adds a load to the total of its upstream (`sign` 1) or subtracts it (`sign` -1); removes a total whose fields are all zero. */
export function applyLoad(totals: Map<string, UpstreamLoadTotal>, {id, inFlight, heldTokens, waitingTokens}: UpstreamLoad, sign: 1 | -1): void {
	const total = totals.get(id) ?? {inFlight: 0, heldTokens: 0, waitingTokens: new Map<number, number>()};
	totals.set(id, total);
	total.inFlight += sign * inFlight;
	total.heldTokens += sign * heldTokens;
	for (const [priority, tokens] of waitingTokens) {
		total.waitingTokens.set(priority, (total.waitingTokens.get(priority) ?? 0) + (sign * tokens));
	}

	if (total.inFlight === 0 && total.heldTokens === 0 && [...total.waitingTokens.values()].every(tokens => tokens === 0)) {
		totals.delete(id);
	}
}
