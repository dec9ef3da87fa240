import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createLoadTotals} from '../../../src/decide/forwarding/create-load-totals.js';
import {type UpstreamLoad} from '../../../src/reports/upstream-load.js';

const load = fc.record({
	id: fc.constantFrom('i-1', 'i-2', 'i-3'), inFlight: fc.nat(5), heldTokens: fc.nat(900),
	waitingTokens: fc.uniqueArray(fc.tuple(fc.nat(3), fc.nat(400)), {selector: ([priority]) => priority, maxLength: 3}),
});
const step = fc.record({
	host: fc.constantFrom('a', 'b', 'c'), gapMs: fc.nat(900), everyMs: fc.constantFrom(100, 800), loads: fc.uniqueArray(load, {selector: ({id}) => id}),
});

describe('the sums of the loads that other hosts report', () => {
	test('include the last unexpired report of each host, for any order of reports', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
			const totals = createLoadTotals();
			const last = new Map<string, {readonly validUntil: number; readonly loads: readonly UpstreamLoad[]}>();
			let now = 0;
			for (const {host, gapMs, everyMs, loads} of steps) {
				// Expired reports are removed at most every 50 ms.
				now += gapMs + 50;
				totals.replaceLoads({host, domain: 'd', everyMs}, loads, now);
				last.set(host, {validUntil: now + Math.max(1000, 3 * everyMs), loads});
				for (const id of ['i-1', 'i-2', 'i-3']) {
					const validLoads = [...last.values()].filter(({validUntil}) => now < validUntil).flatMap(report => report.loads.filter(each => each.id === id));
					const total = totals.of(id, now);
					expect(total?.inFlight ?? 0).toBe(validLoads.reduce((sum, {inFlight}) => sum + inFlight, 0));
					expect(total?.heldTokens ?? 0).toBe(validLoads.reduce((sum, {heldTokens}) => sum + heldTokens, 0));
					const waiting = [...total?.waitingTokens.values() ?? []].reduce((sum, tokens) => sum + tokens, 0);
					expect(waiting).toBe(validLoads.flatMap(({waitingTokens}) => waitingTokens).reduce((sum, [, tokens]) => sum + tokens, 0));
				}
			}
		}), {seed: 41});
	});
});
