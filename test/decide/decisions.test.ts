import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {splitPrompt} from '../../src/decide/context/split-prompt.js';
import {scorePieceRetention} from '../../src/decide/context/score-piece-retention.js';
import {rankOwners} from '../../src/decide/membership/rank-owners.js';
import {createLease} from '../../src/decide/orders/create-lease.js';
import {planOrders} from '../../src/decide/orders/plan-orders.js';
import {createPoisonRequestTracker} from '../../src/decide/poison/create-poison-request-tracker.js';
import {createRetryBudget} from '../../src/decide/retries/create-retry-budget.js';
import {chooseVersion} from '../../src/decide/routing/choose-version.js';
import {rankEngines} from '../../src/decide/routing/rank-engines.js';
import {createFlapDamper} from '../../src/decide/upstreams/create-flap-damper.js';
import {type EngineView} from '../../src/decide/routing/engine-view.js';
import {type StoredPiece} from '../../src/decide/routing/stored-piece.js';

const scope = {
	workspace: 'acme', service: 'drafting', model: 'small', adapter: '', version: 'v1',
};

describe('keys of prompt pieces', () => {
	it.each(Object.keys(scope))('differ when the %s differs', field => {
		fc.assert(fc.property(fc.string({minLength: 1, maxLength: 400}), fc.string({minLength: 1}), (prompt, other) => {
			fc.pre(other !== scope[field as keyof typeof scope]);
			const own = new Set(splitPrompt(scope, prompt, 64).map(piece => piece.key));
			const theirs = splitPrompt({...scope, [field]: other}, prompt, 64);
			expect(theirs.some(piece => own.has(piece.key))).toBe(false);
		}), {seed: 31});
	});

	it('are equal for exactly those pieces that lie entirely within a common prefix', () => {
		fc.assert(fc.property(fc.string({minLength: 300, maxLength: 300}), fc.nat(299), (prompt, at) => {
			const changed = `${prompt.slice(0, at)}${prompt[at] === 'x' ? 'y' : 'x'}${prompt.slice(at + 1)}`;
			const one = splitPrompt(scope, prompt, 50);
			const two = splitPrompt(scope, changed, 50);
			const same = one.filter((piece, index) => piece.key === two[index]!.key).length;
			expect(same).toBe(Math.floor(at / 50));
		}), {seed: 32});
	});
});

describe('the retention score of a kept piece', () => {
	const use = {
		uses: 2, ageMs: 60_000, tokens: 1000, bytes: 1e6, depth: 0,
	};
	it.each([
		['a piece used more recently', {ageMs: 1000}, {ageMs: 1e8}],
		['a piece used more often', {uses: 5}, {uses: 1}],
		['a piece that saves more computation', {tokens: 1000}, {tokens: 500}],
		['a smaller piece', {bytes: 1e6}, {bytes: 2e6}],
		['a piece closer to the start of the prompt', {depth: 0}, {depth: 9}],
	])('is higher for %s', (_name, better, worse) => {
		expect(scorePieceRetention({...use, ...better})).toBeGreaterThan(scorePieceRetention({...use, ...worse}));
	});
});

describe('owners by rendezvous hashing', () => {
	it('change only for keys of the removed host', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1}), {minLength: 2, maxLength: 12}), fc.string(), (names, key) => {
			const [first] = rankOwners(names, key);
			for (const gone of names) {
				const [next] = rankOwners(names.filter(name => name !== gone), key);
				if (gone !== first) {
					expect(next).toBe(first);
				}
			}
		}), {seed: 33});
	});
});

describe('the lease of a failure domain', () => {
	it('never has two holders at the same time, even when hosts pause at any point', () => {
		fc.assert(fc.property(fc.array(fc.record({host: fc.nat(2), wait: fc.nat(4000), pause: fc.nat(30_000)}), {maxLength: 80}), steps => {
			// A write takes effect after the host's pause; about two thirds of the writes have none. All hosts' clocks run at the same rate
			// and are never compared.
			let object = {version: 0, fencing: 0};
			let now = 0;
			const leases = Array.from({length: 3}, () => createLease(0));
			for (const {host, wait, pause} of steps) {
				now += wait;
				const lease = leases[host]!;
				const startedAt = now;
				const isHeld = lease.fencing(now) !== undefined;
				if (!isHeld) {
					lease.observe(object.version, object.fencing, now);
				}

				if (isHeld || lease.canAcquire(now)) {
					const fencing = isHeld ? lease.latestFencingToken() : lease.latestFencingToken() + 1;
					const expected = lease.version();
					now += pause % 3 === 0 ? pause : 0;
					if (object.version === expected) {
						object = {version: expected + 1, fencing};
						lease.recordRenewal(object.version, fencing, {held: startedAt, wait: startedAt});
					} else {
						lease.markLost();
					}
				}

				const holders = leases.map(candidate => candidate.fencing(now)).filter(fencing => fencing !== undefined);
				expect(holders.length).toBeLessThanOrEqual(1);
			}
		}), {seed: 34, numRuns: 500});
	});
});

describe('planned orders to engines', () => {
	it('stay within the limit of concurrent loads and unload only where the desired version is loaded', () => {
		const engine = fc.record({loaded: fc.subarray(['m@v1', 'm@v2']), isUp: fc.boolean(), busy: fc.boolean()});
		fc.assert(fc.property(fc.array(engine, {maxLength: 12}), fc.integer({min: 1, max: 3}), (states, limit) => {
			const engines = states.map((state, index) => ({...state, engine: `e${index}`}));
			const orders = planOrders(['m@v2'], engines, limit);
			const busy = engines.filter(state => state.busy).length;
			expect(orders.filter(order => order.kind === 'load').length).toBeLessThanOrEqual(Math.max(0, limit - busy));
			for (const order of orders.filter(planned => planned.kind === 'unload')) {
				expect(engines.find(state => state.engine === order.engine)!.loaded).toContain('m@v2');
			}
		}), {seed: 35});
	});
});

describe('suspect requests', () => {
	it('run one at a time, are condemned by a crash in an isolated run, and are no longer condemned after the expiry', () => {
		const tracker = createPoisonRequestTracker();
		tracker.suspect('d', 0);
		expect(tracker.begin('d', 'one', 1)).toBe('run-alone');
		expect(tracker.begin('d', 'two', 2)).toBe('wait');
		expect(tracker.end('d', 'one', true, 3)).toBe('condemned');
		expect(tracker.begin('d', 'two', 4)).toBe('condemned');
		expect(tracker.isCondemned('d', 599_000)).toBe(true);
		expect(tracker.isCondemned('d', 601_000)).toBe(false);
	});

	it('may run once the permitted run has been cancelled, and a repeated cancellation does not cancel the next run', () => {
		const tracker = createPoisonRequestTracker();
		tracker.suspect('d', 0);
		expect(tracker.begin('d', 'one', 1)).toBe('run-alone');
		tracker.cancelRun('d', 'one');
		expect(tracker.begin('d', 'two', 2)).toBe('run-alone');
		tracker.cancelRun('d', 'one');
		expect(tracker.begin('d', 'three', 3)).toBe('wait');
	});

	it('are cleared by a completed run', () => {
		const tracker = createPoisonRequestTracker();
		tracker.suspect('d', 0);
		tracker.begin('d', 'one', 1);
		expect(tracker.end('d', 'one', false, 2)).toBe('clear');
		expect(tracker.begin('d', 'two', 3)).toBe('clear');
	});
});

describe('the retry budget', () => {
	it('limits retries to its share of first attempts', () => {
		fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 2000}), steps => {
			const budget = createRetryBudget(0.1);
			let first = 0;
			let retries = 0;
			for (const isRetry of steps) {
				if (isRetry) {
					retries += budget.tryWithdraw() ? 1 : 0;
				} else {
					budget.deposit();
					first++;
				}
			}

			expect(retries).toBeLessThanOrEqual(Math.max(1, (first * 0.1) + 1e-9));
		}), {seed: 36});
	});
});

describe('the leaving state of an upstream', () => {
	it('takes effect at once and stays while the upstream flaps', () => {
		const damper = createFlapDamper();
		const observed = Array.from({length: 60}, (_, second) => damper.observe(second % 4 === 0, second * 1000));
		expect(observed.every(Boolean)).toBe(true);
	});

	it('ends after the hold time', () => {
		const damper = createFlapDamper();
		expect(damper.observe(true, 0)).toBe(true);
		expect(damper.observe(false, 1000)).toBe(true);
		expect(damper.observe(false, 6001)).toBe(false);
	});
});

describe('the weight version chosen for a request', () => {
	const model = {name: 'm', version: 'v2'};
	it.each([
		['the desired one when any engine has loaded it', [['m@v1'], ['m@v1', 'm@v2']], undefined, 'v2'],
		['the one that most engines have loaded, when none has the desired one', [['m@v1'], ['m@v1'], ['m@v0']], undefined, 'v1'],
		['the one that the request began with', [['m@v1'], ['m@v2']], 'v1', 'v1'],
		['none when no engine has the one it began with', [['m@v2']], 'v1', undefined],
		['none when engines have loaded only another model', [['n@v2']], undefined, undefined],
	])('is %s', (_name, loaded, pinned, expected) => {
		expect(chooseVersion(model, loaded, pinned)).toBe(expected);
	});
});

describe('the ranking of engines', () => {
	const view: EngineView = {
		name: 'e1', domain: 'd', cachedPieces: 0, waitMs: 0, prefillTokensPerS: 10_000, networkLatencyMs: 1,
	};
	const stored: readonly StoredPiece[] = ['a', 'b'].map((key, block) => ({
		key, store: 's', block, generation: 1, checksum: '', bytes: 1e8,
	}));
	const request = {
		pieceTokens: [1000, 1000], stored: [undefined, undefined], cost: {firstToken: 1, recomputed: 0.1, link: 0.1}, estimateFetchMs: () => 50,
	};
	it.each([
		['an engine that has cached the prompt', request, [view, {...view, name: 'e2', cachedPieces: 2}], 'e2', 0],
		['an engine with a free slot over one that has cached the prompt but has a long queue', request, [view, {
			...view, name: 'e2', cachedPieces: 2, waitMs: 5000,
		}], 'e1', 0],
		['fetching over a fast link to recomputing', {...request, stored}, [view], 'e1', 2],
		['recomputing to fetching over a slow link', {...request, stored, estimateFetchMs: () => 5000}, [view], 'e1', 0],
		['fetching, even over a slow link, to recomputing when recomputed tokens have the highest cost factor', {
			...request, stored, estimateFetchMs: () => 500, cost: {firstToken: 0.1, recomputed: 1, link: 0.1},
		}, [view], 'e1', 2],
		['fetching nothing after a gap in the stored pieces', {...request, stored: [undefined, stored[1]]}, [view], 'e1', 0],
	])('prefers %s', (_name, wanted, engines, engine, fetched) => {
		const [best] = rankEngines(wanted, engines, () => 0);
		expect(best).toMatchObject({engine});
		expect(best!.fetchPieces).toHaveLength(fetched);
	});
});
