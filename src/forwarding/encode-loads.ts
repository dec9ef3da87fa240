import {type UpstreamLoad} from './upstream-load.js';
import {type WireLoad} from './wire-load.js';

/** Writes loads, the most of a datagram, without the names of their fields. */
export function encodeLoads(loads: readonly UpstreamLoad[]): readonly WireLoad[] {
	return loads.map(({id, inFlight, heldTokens, waitingTokens}) => [id, inFlight, heldTokens, ...waitingTokens.flat()]);
}
