import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';
import {
	countBusiestSecond, simulateColdUpstreams, type ColdWorld, type UpstreamLife,
} from '../support/simulate-cold-upstreams.js';

const perS = 11;
const coldMs = 3000;
const bound = (perS * 1.5) + 5;
const forever = Number.POSITIVE_INFINITY;
const upAt = 5000;

/** An upstream that ends at 4 s and starts again under its id or another one. */
const restartAs = (id: string, upstream = 0): readonly UpstreamLife[] => [
	{
		upstream, id: `u-${upstream}`, upAt: -10_000, downAt: 4000, coldMs: 0,
	},
	{
		upstream, id, upAt, downAt: forever, coldMs,
	},
];

const twelve: ColdWorld = {
	hosts: 12,
	durationMs: 9500,
	perS,
	coldStartMs: coldMs,
	lives: restartAs('u-0'),
	demandPerS: () => 8,
	isCut: () => false,
	newsMs: host => 100 + (host * 100),
	isFrozen: () => false,
	restarts: [],
	lossShare: 0,
	random: createSeededRandom(1),
};

const isBetween = (at: number, from: number, until: number): boolean => at >= from && at < until;

/** Faults, and whether callers of all hosts get as much as the upstream takes from the time that it is warm. */
const faults: ReadonlyArray<readonly [string, Partial<ColdWorld>]> = [
	['none, under its id', {}],
	['none, under a new id', {lives: restartAs('u-0b')}],
	['none, and each host would fill it alone', {demandPerS: () => 60}],
	['none, and most hosts sent nothing while it was down', {demandPerS: (host, at) => host > 2 && isBetween(at, 0, upAt) ? 0 : 2}],
	['a third of the hosts is cut off from the others', {isCut: (a, b, at) => (a < 4) !== (b < 4) && isBetween(at, 4500, 7500)}],
	['each host is cut off from all others', {isCut: (_a, _b, at) => isBetween(at, 4500, 7500)}],
	['the hosts fall into three parts', {isCut: (a, b, at) => a % 3 !== b % 3 && isBetween(at, 3000, 7000)}],
	['the hosts fall into two halves', {isCut: (a, b, at) => a % 2 !== b % 2 && isBetween(at, 3000, 7000)}],
	['a third of the hosts gets no news of the list, and is cut off', {
		isCut: (a, b, at) => (a < 4) !== (b < 4) && isBetween(at, 3500, 9000), newsMs: host => host < 4 ? forever : 300,
	}],
	['hosts stand still, one after the other, and wake', {isFrozen: (host, at) => isBetween(at, 5000 + (host * 300), 7000 + (host * 300)) && host < 5}],
	['half of the hosts stand still and wake', {isFrozen: (host, at) => host < 6 && isBetween(at, 5500, 7500)}],
	['all hosts start again', {restarts: Array.from({length: 12}, (_, host) => ({host, at: 5200 + (host * 40)}))}],
	['hosts start again, one after the other', {restarts: Array.from({length: 12}, (_, host) => ({host, at: 5200 + (host * 200)}))}],
	['a fifth of the calls between hosts is lost', {lossShare: 0.2}],
	['it ends again while it is cold', {
		lives: [
			...restartAs('u-0').slice(0, 1),
			...[5000, 6500, 8000].map((at, index) => ({
				upstream: 0, id: index === 1 ? 'u-0b' : 'u-0', upAt: at, downAt: index === 2 ? forever : at + 1000, coldMs,
			})),
		],
		durationMs: 12_500,
	}],
];

// Guards against hosts that send a cold upstream more than it bears, together, and against a test that could not show it.
describe('an upstream that has started again and is cold', () => {
	test.each(faults)('gets no more from all hosts together in a second than the bound, and all once it is warm: %s', async (_name, changed) => {
		const before = await simulateColdUpstreams({
			...twelve, ...changed, isUnlimited: true, random: createSeededRandom(11),
		});
		expect(countBusiestSecond(before.arrivals)).toBeGreaterThan(bound);
		for (const seed of [1, 2, 3, 4]) {
			const {arrivals} = await simulateColdUpstreams({...twelve, ...changed, random: createSeededRandom(seed)});
			expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(bound);
		}
	});

	test('is used by all hosts at once when it is warm, without manual steps', async () => {
		const {arrivals} = await simulateColdUpstreams(twelve);
		const warm = arrivals.filter(({at}) => isBetween(at, 8300, 9300)).length;
		expect(warm).toBeGreaterThan(12 * 8 * 0.7);
		const cold = arrivals.filter(({at}) => isBetween(at, 6000, 8000)).length;
		expect(cold).toBeGreaterThan(2 * perS * 0.5);
	});

	test('bears any interleaving of learning, sending, restarts and permits at four hosts (property)', async () => {
		const at = fc.integer({min: 4000, max: 9000});
		const span = fc.tuple(at, fc.integer({min: 100, max: 4000}));
		const worlds = fc.record({
			perS: fc.constantFrom(1, 4, 11, 16, 40),
			upAt: fc.integer({min: 4600, max: 6500}),
			isNewId: fc.boolean(),
			newsMs: fc.array(fc.integer({min: 50, max: 1500}), {minLength: 4, maxLength: 4}),
			cut: span,
			sides: fc.array(fc.integer({min: 0, max: 3}), {minLength: 4, maxLength: 4}),
			frozen: fc.tuple(fc.integer({min: 0, max: 3}), span),
			restarts: fc.array(fc.record({host: fc.integer({min: 0, max: 3}), at}), {maxLength: 3}),
			lossShare: fc.constantFrom(0, 0.1, 0.4),
			demandPerS: fc.constantFrom(10, 40),
			seed: fc.integer(),
		});
		await fc.assert(fc.asyncProperty(worlds, async drawn => {
			const {cut: [cutAt, cutMs], frozen: [frozenHost, [frozenAt, frozenMs]], sides} = drawn;
			const {arrivals} = await simulateColdUpstreams({
				...twelve,
				hosts: 4,
				perS: drawn.perS,
				lives: [
					{...restartAs('u-0')[0]!},
					{...restartAs(drawn.isNewId ? 'u-0b' : 'u-0')[1]!, upAt: drawn.upAt},
				],
				newsMs: host => drawn.newsMs[host]!,
				isCut: (a, b, now) => sides[a] !== sides[b] && isBetween(now, cutAt, cutAt + cutMs),
				isFrozen: (host, now) => host === frozenHost && isBetween(now, frozenAt, frozenAt + frozenMs),
				restarts: drawn.restarts,
				lossShare: drawn.lossShare,
				demandPerS: () => drawn.demandPerS,
				random: createSeededRandom(drawn.seed),
			});
			expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual((drawn.perS * 1.5) + 5);
		}), {seed: 53, numRuns: Number(process.env.COLD_RUNS ?? 60)});
	}, 60_000);
});
