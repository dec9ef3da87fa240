import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createUpstreamLinks} from '../../src/links/create-upstream-links.js';
import {type Upstream} from '../../src/forwarding/upstream.js';

const createUpstream = (id: string): Upstream => ({
	id, service: 'app', address: id, domain: 'domain-a', slots: 1, isLeaving: false, startedAt: 1, softwareVersion: '', weights: new Map(),
});

describe('a link on which no new connection could be opened', () => {
	test.each([
		['is silent where nothing has arrived for a while', 'silent', 700, 1],
		['is not silent while bytes arrive on other connections', 'silent', 100, 0],
		['is not silent where connections are refused', 'refused', 700, 0],
	] as const)('%s', (_name, loss, sinceContactMs, expected) => {
		let time = 0;
		let silent = 0;
		const links = createUpstreamLinks({
			ping: async () => true, chargeProbe: () => 0, now: () => time, random: () => 0,
		});
		links.add(createUpstream('i-0'), () => {
			silent++;
		});
		const use = links.use('i-0');
		time = 1000;
		use.recordContact();
		time += sinceContactMs;
		links.recordConnectFailure('i-0', loss);
		links.stop();
		expect(silent).toBe(expected);
		expect(links.isReachable('i-0', false)).toBe(false);
		expect(links.isReachable('i-0', true)).toBe(expected === 0);
	});
});

describe('an upstream that is silent while it works on a stream', () => {
	const stepMs = 100;
	const streamMs = 12_000;

	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	test.each([
		['states no limit', 0, 5, 12],
		['takes 0.4 requests a second', 2500, 3, 5],
		['takes one request in five seconds', 5000, 2, 3],
	])('is probed no more often than it takes requests: it %s', async (_name, pauseMs, least, most) => {
		let time = 0;
		let probes = 0;
		let charged = 0;
		const links = createUpstreamLinks({
			async ping() {
				probes++;
				return true;
			},
			chargeProbe() {
				charged++;
				return pauseMs;
			},
			now: () => time,
			random: () => 0.5,
		});
		links.add(createUpstream('i-0'), () => undefined);
		links.use('i-0');
		for (; time < streamMs; time += stepMs) {
			await vi.advanceTimersByTimeAsync(stepMs);
		}

		links.stop();
		expect(probes).toBeGreaterThanOrEqual(least);
		expect(probes).toBeLessThanOrEqual(most);
		expect(charged).toBe(probes);
	});
});

// Guards against a link that counts as lost, or as back, after a probe that a cold upstream had no permit for.
describe('a probe that may not be sent now', () => {
	test.each([
		['a link that is lost', true, false],
		['a link that is in use', false, true],
	])('changes nothing: %s', async (_name, isLost, expected) => {
		let time = 0;
		const links = createUpstreamLinks({
			ping: async () => undefined, chargeProbe: () => 0, now: () => time, random: () => 0.5,
		});
		links.add(createUpstream('i-0'), () => undefined);
		if (isLost) {
			links.recordConnectFailure('i-0', 'refused');
		}

		time = 5000;
		expect(await links.verify('i-0')).toBe(expected);
		links.stop();
		expect(links.isReachable('i-0', false)).toBe(expected);
	});
});
