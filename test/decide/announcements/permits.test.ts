import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createPermitBucket} from '../../../src/decide/announcements/create-permit-bucket.js';
import {findPermitIssuer} from '../../../src/decide/announcements/find-permit-issuer.js';
import {createSeededRandom} from '../../../src/util/create-seeded-random.js';

const windowMs = 4000;
const stepMs = 25;
/** Time after which hosts know that others are cut off, at most. */
const maxNoticeMs = 1200;

/** Returns the most times within a window. */
function countBusiest(times: readonly number[]): number {
	return Math.max(0, ...times.map(at => times.filter(other => other >= at && other < at + windowMs).length));
}

describe('the permits of one upstream', () => {
	test.each([
		['8 a second, eight hosts', 8, 8],
		['2.1 a second, eight hosts', 2.1, 8],
		['0.4 a second, eight hosts', 0.4, 8],
		['0.4 a second, one host', 0.4, 1],
		['60 a second, 84 hosts', 60, 84],
	])('keep the limit, and use it, however many hosts ask: %s', (_name, perS, hosts) => {
		const random = createSeededRandom(5);
		const bucket = createPermitBucket(random);
		const granted: number[] = [];
		const closedUntil = new Map<number, number>();
		const durationMs = 40_000;
		let asked = 0;
		for (let now = 0; now < durationMs; now += 5) {
			const host = Math.floor(random() * hosts);
			if ((closedUntil.get(host) ?? 0) > now) {
				continue;
			}

			asked++;
			const {isGranted, retryAfterMs} = bucket.take(String(host), perS, now);
			closedUntil.set(host, now + retryAfterMs);
			granted.push(...isGranted ? [now] : []);
		}

		const due = perS * durationMs / 1000;
		expect(countBusiest(granted)).toBeLessThanOrEqual((perS * windowMs / 1000) + Math.max(2, perS / 4));
		expect(granted.length).toBeGreaterThanOrEqual(due * 0.85);
		// What the hosts ask for grows with the permits, not with the hosts.
		expect(asked).toBeLessThanOrEqual((due * 8) + hosts);
	});

	test('make up for control calls that are sent in any case', () => {
		const bucket = createPermitBucket(() => 0);
		bucket.charge(2, 0);
		bucket.charge(2, 0);
		expect(bucket.take('a', 2, 900).isGranted).toBe(false);
		expect(bucket.take('a', 2, 1400)).toEqual({isGranted: false, retryAfterMs: 100});
		expect(bucket.take('a', 2, 1500).isGranted).toBe(true);
	});

	test('let a request through now and then where the upstream takes none, since only a response ends the limit', () => {
		const bucket = createPermitBucket(() => 0);
		bucket.take('a', 0, 0);
		expect(bucket.take('a', 0, 20_000).isGranted).toBe(false);
		expect(bucket.take('a', 0, 31_000).isGranted).toBe(true);
		expect(bucket.take('a', 0, 32_000).isGranted).toBe(false);
	});

	test('are issued by nobody for more than the limit allows, whoever is cut off from whom and notices it when (property)', () => {
		const system = fc.record({
			perS: fc.constantFrom(0.4, 2.1, 3.4, 8, 30),
			domains: fc.array(fc.integer({min: 0, max: 2}), {minLength: 1, maxLength: 8}),
			upstreamDomain: fc.integer({min: 0, max: 2}),
			/** Hosts on the far side of a cut, which begins and ends. */
			far: fc.array(fc.boolean(), {minLength: 8, maxLength: 8}),
			cutAt: fc.integer({min: 0, max: 12_000}),
			cutForMs: fc.integer({min: 0, max: 8000}),
			noticeMs: fc.array(fc.integer({min: 0, max: maxNoticeMs}), {minLength: 8, maxLength: 8}),
			lossShare: fc.constantFrom(0, 0.1, 0.5),
			seed: fc.integer(),
		});
		fc.assert(fc.property(system, ({perS, domains, upstreamDomain, far, cutAt, cutForMs, noticeMs, lossShare, seed}) => {
			const random = createSeededRandom(seed);
			const buckets = domains.map(() => createPermitBucket(random));
			const closedUntil = domains.map(() => 0);
			const granted: number[] = [];
			const isCut = (a: number, b: number, at: number): boolean => far[a] !== far[b] && at >= cutAt && at < cutAt + cutForMs;
			const listCandidates = (self: number, at: number) => domains.map((domain, host) => ({
				host: String(host), domain: String(domain), isAlive: host === self || !isCut(self, host, at - noticeMs[self]!),
			}));
			const upstream = {id: 'i-1', domain: String(upstreamDomain)};
			for (let now = 0; now < 20_000; now += stepMs) {
				const host = Math.floor(random() * domains.length);
				if (closedUntil[host]! > now) {
					continue;
				}

				const issuer = Number(findPermitIssuer(upstream, listCandidates(host, now)).host);
				const isLost = issuer !== host && (isCut(host, issuer, now) || random() < lossShare);
				const {share} = findPermitIssuer(upstream, listCandidates(issuer, now));
				const result = isLost ? {isGranted: false, retryAfterMs: 500} : buckets[issuer]!.take(String(host), perS * share, now);
				closedUntil[host] = now + result.retryAfterMs;
				granted.push(...result.isGranted ? [now] : []);
			}

			expect(countBusiest(granted)).toBeLessThanOrEqual((1.5 * perS * windowMs / 1000) + 5);
		}), {seed: 28, numRuns: Number(process.env.PERMIT_RUNS ?? 100)});
	});
});

describe('the host that issues permits', () => {
	const candidate = (host: string, domain: string, isAlive = true) => ({host, domain, isAlive});
	const upstream = {id: 'i-1', domain: 'a'};

	test.each([
		['one host alone', [candidate('h', 'b')], 1],
		['the hosts of the upstream\'s domain alone', [candidate('h', 'a'), candidate('x', 'b', false), candidate('y', 'b', false)], 1],
		['half of the hosts of the upstream\'s domain', [candidate('h', 'a'), candidate('x', 'a', false)], 0.5],
		['a minority of them', [candidate('h', 'a'), candidate('x', 'a', false), candidate('y', 'a', false), candidate('z', 'a', false)], 0.25],
		['a majority of them', [candidate('h', 'a'), candidate('i', 'a'), candidate('z', 'a', false)], 1],
		['the hosts outside', [candidate('h', 'b'), candidate('i', 'b'), candidate('z', 'a', false)], 0.25],
		['a host that hears no other', [candidate('h', 'b'), candidate('i', 'b', false), candidate('z', 'a', false), candidate('y', 'a', false)], 0.25],
	])('issues a share by what it hears: %s', (_name, candidates, expected) => {
		const {host, share} = findPermitIssuer(upstream, candidates);
		expect(candidates.find(each => each.host === host)?.isAlive).toBe(true);
		expect(share).toBe(expected);
	});
});
