import {type HostReport} from './host-report.js';
import {type WireReport} from './wire-report.js';

/** Writes a report for a datagram; loads, the most of it, without the names of their fields. */
export function encodeReport({loads, ...rest}: HostReport): WireReport {
	return {...rest, loads: loads.map(({id, inFlight, heldTokens, waitingTokens}) => [id, inFlight, heldTokens, ...waitingTokens.flat()])};
}
