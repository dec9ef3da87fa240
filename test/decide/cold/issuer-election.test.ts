import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createIssuerElection} from '../../../src/decide/cold/create-issuer-election.js';
import {getColdRate} from '../../../src/decide/cold/get-cold-rate.js';
import {createPermitBucket} from '../../../src/decide/announcements/create-permit-bucket.js';

const observeMs = 200;
const aliveForMs = 1200;

type World = {
	readonly hosts: number;
	/** Part of each host while the cut lasts. */
	readonly parts: readonly number[];
	readonly cutAt: number;
	readonly cutMs: number;
	/** Until when each host stands still, from the begin of the cut on. */
	readonly frozenMs: readonly number[];
};

/** Plays a split, and returns for each step the hosts that may issue permits for an upstream. */
function play({hosts, parts, cutAt, cutMs, frozenMs}: World, upstream: string, durationMs: number): ReadonlyArray<readonly number[]> {
	const names = Array.from({length: hosts}, (_, host) => `h-${host}`);
	const elections = names.map(name => createIssuerElection(name));
	const heardAt = names.map(() => names.map(() => Number.NEGATIVE_INFINITY));
	const isFrozen = (host: number, at: number): boolean => at >= cutAt && at < cutAt + frozenMs[host]!;
	const isCut = (a: number, b: number, at: number): boolean => parts[a] !== parts[b] && at >= cutAt && at < cutAt + cutMs;
	const steps: Array<readonly number[]> = [];
	for (let now = 0; now < durationMs; now += observeMs) {
		const running = [...names.keys()].filter(host => !isFrozen(host, now));
		for (const host of running) {
			for (const other of running) {
				if (!isCut(host, other, now)) {
					heardAt[host]![other] = now;
				}
			}
		}

		// A host that wakes may answer a request before it looks who can be heard.
		const mayIssue = running.filter(host => elections[host]!.mayIssue(upstream, now));
		steps.push(mayIssue);
		for (const host of running) {
			const others = names.flatMap((name, other) => other === host ? [] : [{host: name, isAlive: now - heardAt[host]![other]! < aliveForMs}]);
			elections[host]!.observe(others, now);
		}
	}

	return steps;
}

/** Returns the most hosts that may issue within a second. */
function countIssuers(steps: ReadonlyArray<readonly number[]>): number {
	return Math.max(...steps.map((_step, index) => new Set(steps.slice(index, index + (1000 / observeMs)).flat()).size));
}

/** Lists all ways to split hosts into parts. */
function listSplits(hosts: number): ReadonlyArray<readonly number[]> {
	if (hosts === 0) {
		return [[]];
	}

	return listSplits(hosts - 1).flatMap(split => Array.from({length: Math.max(-1, ...split) + 2}, (_, part) => [...split, part]));
}

// Guards against two hosts that issue permits for one upstream at a time, and against hosts that issue for themselves while cut off.
describe('the issuer of permits for a cold upstream', () => {
	const still = (hosts: number): readonly number[] => Array.from({length: hosts}, () => 0);

	test.each([1, 2, 3, 4, 5])('is one host at most, in any split of %i hosts (exhaustive)', hosts => {
		for (const parts of listSplits(hosts)) {
			for (const upstream of ['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6']) {
				const steps = play({
					hosts, parts, cutAt: 4000, cutMs: 5000, frozenMs: still(hosts),
				}, upstream, 14_000);
				expect(countIssuers(steps)).toBeLessThanOrEqual(1);
				expect(steps.at(-1)).toHaveLength(1);
				const sizes = parts.map(part => parts.filter(other => other === part).length);
				expect(steps[Math.floor(8500 / observeMs)]).toHaveLength(sizes.some(size => size * 2 > hosts) ? 1 : 0);
			}
		}
	});

	test('is one host at most, in any split of up to sixty hosts of which some stand still (property)', () => {
		const worlds = fc.integer({min: 2, max: 60}).chain(hosts => fc.record({
			hosts: fc.constant(hosts),
			parts: fc.array(fc.integer({min: 0, max: 3}), {minLength: hosts, maxLength: hosts}),
			cutAt: fc.integer({min: 3000, max: 5000}),
			cutMs: fc.integer({min: 100, max: 8000}),
			frozenMs: fc.array(fc.oneof({weight: 4, arbitrary: fc.constant(0)}, {weight: 1, arbitrary: fc.integer({min: 100, max: 9000})}), {minLength: hosts, maxLength: hosts}),
		}));
		fc.assert(fc.property(worlds, fc.constantFrom('u-1', 'u-2', 'u-3'), (world, upstream) => {
			expect(countIssuers(play(world, upstream, 16_000))).toBeLessThanOrEqual(1);
		}), {seed: 53, numRuns: Number(process.env.ELECTION_RUNS ?? 40)});
	}, 60_000);

	test('is none at a host that was cut off alone for minutes, since it does not forget the others', () => {
		const election = createIssuerElection('h-0');
		for (let now = 0; now < 300_000; now += 1000) {
			election.observe(['h-1', 'h-2'].map(host => ({host, isAlive: now < 3000})), now);
		}

		expect(election.findIssuer('u-1')).toBeUndefined();
		expect(election.mayIssue('u-1', 300_000)).toBe(false);
	});

	test.each([
		['registered and never heard', () => false, 59_000, false],
		['registered and never heard for a minute', () => false, 62_000, true],
		['taken away for good ten minutes ago, more than half of all', (now: number) => now < 3000, 605_000, true],
	])('counts other hosts as long as they may exist: %s', (_name, isAlive, at, expected) => {
		const election = createIssuerElection('h-0');
		for (let now = 0; now <= at; now += 1000) {
			election.observe(['h-1', 'h-2'].map(host => ({host, isAlive: isAlive(now)})), now);
		}

		expect(election.findIssuer('u-1') === 'h-0').toBe(expected);
	});
});

// Guards against a rate that breaks the bound where two hosts issue at a time.
describe('the rate of permits for a cold upstream', () => {
	test.each([
		[0.4, 1.5, 5], [1, 1.5, 5], [4, 1.5, 5], [11, 1.5, 5], [16, 1.5, 5], [40, 1.5, 5], [500, 1.5, 5], [11, 1, 0], [2, 1, 3],
	])('keeps two issuers within the bound: %d a second, times %d, plus %d', (perS, overshoot, slack) => {
		const rate = getColdRate(perS, {overshoot, slack});
		const buckets = [0, 1].map(() => createPermitBucket(() => 0, rate.burst));
		let granted = 0;
		// Full buckets, then as many permits as there are in the time of which permits may be used in one second.
		for (let now = 0; now <= 20_000; now += 20_000) {
			for (const bucket of buckets) {
				bucket.charge(rate.perS, now);
			}
		}

		for (let now = 40_000; now < 41_150; now += 1) {
			for (const bucket of buckets) {
				granted += bucket.take('h', rate.perS, now).isGranted ? 1 : 0;
			}
		}

		expect(granted).toBeLessThanOrEqual((perS * overshoot) + slack);
		expect(rate.perS).toBeLessThanOrEqual(perS);
	});

	test.each([[11, 8.04], [16, 11.3]])('uses seven tenths of what a cold upstream tolerates: %d a second', (perS, expected) => {
		expect(getColdRate(perS, {overshoot: 1.5, slack: 5}).perS).toBeCloseTo(expected, 1);
	});
});
