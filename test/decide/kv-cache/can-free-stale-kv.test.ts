import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {canFreeStaleKv} from '../../../src/decide/kv-cache/can-free-stale-kv.js';
import {canReadStoredKv} from '../../../src/decide/kv-cache/can-read-stored-kv.js';
import {createKvStoreIndex} from '../../../src/decide/kv-cache/create-kv-store-index.js';
import {estimateSupersededAt} from '../../../src/decide/kv-cache/estimate-superseded-at.js';
import {staleReadLimits} from '../../../src/decide/kv-cache/stale-read-limits.js';
import {parseScope} from '../../../src/decide/kv-cache/parse-scope.js';
import {formatScope} from '../../../src/decide/kv-cache/format-scope.js';

const {maxFetchMs, staleReadMs, confirmationMaxAgeMs} = staleReadLimits;
const event = (part: string, isAdded = true) => ({
	isAdded, scope: 's', part, tokens: 100,
});
const batch = (epoch: number, next: number, clockMs: number, events: ReadonlyArray<ReturnType<typeof event>>, hasGap = false) => ({
	epoch, next, clockMs, events, hasGap,
});

describe('the index of a KV store', () => {
	test('contains a part until it is freed, the store restarts or the store stops responding', () => {
		const index = createKvStoreIndex();
		index.applyUpdate(batch(1, 5, 1000, [event('a'), event('b')]), 0, 0);
		index.applyUpdate(batch(1, 6, 1200, [event('b', false)]), 200, 200);
		expect([index.has('s', 'a'), index.has('s', 'b'), index.has('t', 'a'), index.tokens()]).toEqual([true, false, false, 100]);
		index.applyUpdate(batch(2, 3, 1400, [event('c')]), 400, 400);
		expect([index.has('s', 'a'), index.has('s', 'c'), index.next()]).toEqual([false, false, undefined]);
		index.applyUpdate(batch(2, 3, 1500, [event('c')]), 500, 500);
		expect(index.has('s', 'c')).toBe(true);
		index.invalidate();
		expect(index.has('s', 'c')).toBe(false);
	});

	test('requires a new listing after a gap in the events', () => {
		const index = createKvStoreIndex();
		index.applyUpdate(batch(1, 5, 1000, [event('a')]), 0, 0);
		index.applyUpdate(batch(1, 900, 1200, [event('z')], true), 100, 100);
		expect([index.has('s', 'a'), index.next()]).toEqual([false, undefined]);
	});

	test('lets every fetch end before any host saves into the restarted store', () => {
		fc.assert(fc.property(fc.nat(3000), fc.nat(2000), fc.nat(8000), (pollAgeMs, downMs, delayMs) => {
			// All times are of one clock. The last poll before the crash is at `lastPollAt`.
			const lastPollAt = 10_000;
			const crashedAt = lastPollAt + pollAgeMs;
			const restartedAt = crashedAt + downMs;
			const reader = createKvStoreIndex();
			reader.applyUpdate(batch(1, 5, lastPollAt, [event('a')]), lastPollAt, lastPollAt);
			const saver = createKvStoreIndex();
			saver.applyUpdate(batch(1, 5, lastPollAt, []), lastPollAt, lastPollAt);
			saver.applyUpdate(batch(2, 0, restartedAt, []), restartedAt, restartedAt);
			saver.applyUpdate(batch(2, 0, restartedAt, []), restartedAt, restartedAt);
			const saveAt = restartedAt + delayMs;
			const fetchDeadlineMs = reader.getFetchDeadlineMs(crashedAt + delayMs);
			return !saver.canSave(saveAt) || fetchDeadlineMs === undefined || fetchDeadlineMs <= saveAt;
		}), {seed: 4});
	});

	test('allows no fetch when the last answered poll of the store was sent too long ago', () => {
		const index = createKvStoreIndex();
		index.applyUpdate(batch(1, 5, 1000, [event('a')]), 0, 0);
		expect([index.getFetchDeadlineMs(100), index.getFetchDeadlineMs(maxFetchMs)]).toEqual([1000 + maxFetchMs, undefined]);
	});
});

describe('freeing stored KV cache of stale weights', () => {
	test('never happens while a reader may still fetch, whenever the reader learned of the newer weights and acknowledged them', () => {
		const reader = fc.record({
			/** When the reader learned of the newer weights; `undefined` if never. */
			learnedAt: fc.option(fc.integer({min: 0, max: 60_000}), {nil: undefined}),
			/** Time from then until a report of the reader shows it; `undefined` if none does. */
			ackDelayMs: fc.option(fc.nat(5000), {nil: undefined}),
			/** Last confirmation from the platform's store, before the newer weights became the desired ones at time 0. */
			confirmedAt: fc.integer({min: -30_000, max: 0}),
		});
		fc.assert(fc.property(fc.array(reader, {maxLength: 6}), fc.nat(5000), fc.integer({min: 0, max: 90_000}), (readers, freeingHostLearnedAt, freedAt) => {
			const hosts = readers.map(({learnedAt, ackDelayMs}) => ({
				ackedAt: learnedAt === undefined || ackDelayMs === undefined || learnedAt + ackDelayMs > freedAt ? undefined : learnedAt + ackDelayMs,
			}));
			if (!canFreeStaleKv(hosts, freeingHostLearnedAt, freedAt)) {
				return true;
			}

			return readers.every(({learnedAt, confirmedAt}) => {
				for (let at = Math.max(0, freedAt - maxFetchMs); at <= freedAt; at += 100) {
					const hasLearned = learnedAt !== undefined && learnedAt <= at;
					// A reader that knows of the newer weights has a current confirmation; any other has had its last one before time 0.
					if (canReadStoredKv({supersededAt: hasLearned ? estimateSupersededAt(learnedAt, confirmedAt) : undefined, confirmedAt: hasLearned ? at : confirmedAt}, at)) {
						return false;
					}
				}

				return true;
			});
		}), {seed: 5, numRuns: 2000});
	});

	test.each([
		['no other host, before this host\'s last fetch has ended', [], 1000, 1000 + staleReadMs + maxFetchMs, false],
		['no other host, after this host\'s last fetch has ended', [], 1000, 1000 + staleReadMs + maxFetchMs + 600, true],
		['a host that has not acknowledged yet', [{ackedAt: undefined}], 0, 30_000, false],
		['a host that has not acknowledged for a long time', [{ackedAt: undefined}], 0, confirmationMaxAgeMs + staleReadMs + maxFetchMs + 11_000, true],
		['a late acknowledgement', [{ackedAt: 8000}], 0, 8000 + staleReadMs + maxFetchMs, false],
		['an early acknowledgement', [{ackedAt: 100}], 0, staleReadMs + maxFetchMs + 700, true],
	] as const)('is allowed only after the last host has stopped reading: %s', (_, readers, learnedAt, now, isSafe) => {
		expect(canFreeStaleKv(readers, learnedAt, now)).toBe(isSafe);
	});

	test('relies on parseScope to return the scope that was formatted, and undefined for a text that is not a scope', () => {
		const sharers = fc.oneof(
			fc.record({workspace: fc.string({minLength: 1}), group: fc.constant(undefined)}),
			fc.record({workspace: fc.constant(undefined), group: fc.option(fc.string({minLength: 1}), {nil: undefined})}),
		);
		fc.assert(fc.property(fc.string({minLength: 1}), fc.nat(), sharers, (model, version, {workspace, group}) => {
			const scope = {
				model, version, workspace, group,
			};
			expect(parseScope(formatScope(scope))).toEqual(scope);
		}), {seed: 6});
		expect([parseScope('else'), parseScope('a/b')]).toEqual([undefined, undefined]);
	});
});
