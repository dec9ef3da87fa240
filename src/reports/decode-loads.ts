import {type UpstreamLoad} from './upstream-load.js';
import {type WireLoad} from './wire-load.js';

/** Decodes the upstream loads of a datagram. */
export function decodeLoads(loads: readonly WireLoad[]): readonly UpstreamLoad[] {
	return loads.map(([id, inFlight, heldTokens, ...waiting]) => ({
		id, inFlight, heldTokens, waitingTokens: Array.from({length: waiting.length / 2}, (_, index) => [waiting[2 * index]!, waiting[(2 * index) + 1]!] as const),
	}));
}
