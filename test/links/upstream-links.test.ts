import {describe, expect, test} from 'vitest';
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
		const links = createUpstreamLinks({ping: async () => true, now: () => time, random: () => 0});
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
