import {type HostReport} from './host-report.js';
import {type WireReport} from './wire-report.js';

/** Reads a report from a datagram. */
export function decodeReport({loads, ...rest}: WireReport): HostReport {
	return {
		...rest,
		loads: loads.map(([id, inFlight, heldTokens, ...waiting]) => ({
			id, inFlight, heldTokens, waitingTokens: Array.from({length: waiting.length / 2}, (_, index) => [waiting[2 * index]!, waiting[(2 * index) + 1]!] as const),
		})),
	};
}
