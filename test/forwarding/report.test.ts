import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {decodeReport} from '../../src/forwarding/decode-report.js';
import {encodeReport} from '../../src/forwarding/encode-report.js';
import {type HostReport} from '../../src/forwarding/host-report.js';

const load = fc.record({
	id: fc.string(), inFlight: fc.nat(), heldTokens: fc.nat(), waitingTokens: fc.array(fc.tuple(fc.nat(9), fc.nat()), {maxLength: 4}),
});

describe('a report of a host', () => {
	test('is the same after its way through a datagram', () => {
		fc.assert(fc.property(fc.array(load, {maxLength: 9}), loads => {
			const report: HostReport = {
				host: 'a', domain: 'd', peers: '127.0.0.1:1', reports: '127.0.0.1:2', everyMs: 100, loads,
				loading: [['i', 'm', 2]], weights: [], crashes: [], changes: {config: 3}, isStoreLost: false, weightsAgeMs: 5,
			};
			expect(decodeReport(structuredClone(encodeReport(report)))).toEqual(report);
		}), {seed: 61});
	});
});
