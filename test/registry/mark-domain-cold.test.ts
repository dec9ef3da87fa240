import {expect, test} from 'vitest';
import {markDomainCold} from '../../src/registry/mark-domain-cold.js';
import {createTestRegistry, testUpstream} from '../support/create-test-registry.js';

// Guards against full load on a failure domain that is back in service, whose upstreams may be cold.
test.each([
	['its own domain', testUpstream.domain, 3000, 3000],
	['another domain', 'another', 3000, 0],
	['its own domain, a service without cold starts', testUpstream.domain, undefined, 0],
])('an upstream is cold for as long as a start after the return of %s', (_name, domain, coldStartMs, expectedMs) => {
	const registry = createTestRegistry(() => ({abort: () => undefined, resume: () => undefined}), () => 0, () => 4, {
		findColdLimit: () => ({coldPerS: 11, ...(coldStartMs !== undefined && {coldStartMs})}),
	});
	registry.updateUpstreams([testUpstream]);
	markDomainCold(registry, domain, () => coldStartMs, 100);
	expect(registry.coldGate(testUpstream.id)?.forMs(100)).toBe(expectedMs);
});
