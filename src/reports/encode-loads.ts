import {type UpstreamLoad} from './upstream-load.js';
import {type WireLoad} from './wire-load.js';

/** Encodes upstream loads without field names, since they make up most of a datagram. */
export function encodeLoads(loads: readonly UpstreamLoad[]): readonly WireLoad[] {
	return loads.map(({id, inFlight, heldTokens, waitingTokens}) => [id, inFlight, heldTokens, ...waitingTokens.flat()]);
}
