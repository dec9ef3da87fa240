import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createColdPermitTask} from '../../src/announcements/create-cold-permit-task.js';
import {findOwner} from '../../src/decide/membership/find-owner.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {createColdGate} from '../../src/registry/create-cold-gate.js';
import {type KnownHost} from '../../src/reports/known-host.js';

const names = ['h-0', 'h-1', 'h-2'];
const findId = (issuer: string): string => Array.from({length: 50}, (_, index) => `u-${index}`).find(id => findOwner(names, id) === issuer)!;
const ownId = findId('h-0');
const otherId = findId('h-1');

/** The task of the first of three hosts, with a fake for the calls and an upstream that stays cold. */
function createTask({stated, respond = async () => ({isGranted: true, retryAfterMs: 0})}: {readonly stated?: number; readonly respond?: () => Promise<unknown>} = {}) {
	const calls: Array<{readonly perS: number; readonly isCharge: boolean}> = [];
	const results: string[] = [];
	const world = {alive: ['h-1', 'h-2']};
	const now = (): number => performance.now();
	const gates = new Map([ownId, otherId].map(id => [id, createColdGate({id, startedAt: 1, service: 'app'}, () => ({coldPerS: 11, coldStartMs: 3000}))]));
	for (const gate of gates.values()) {
		gate.record({forMs: 1e9, askedAt: now(), answeredAt: now()});
	}

	const toHost = (host: string) => ({host, peers: host}) as unknown as KnownHost;
	const task = createColdPermitTask({
		self: 'h-0',
		upstreams: {coldGate: id => gates.get(id), announcements: () => ({limit: {value: () => stated, toReported: () => undefined}})},
		permits: {acquire: async () => true, charge: () => 0, answer: () => ({isGranted: true, retryAfterMs: 0})},
		listOthers: () => ['h-1', 'h-2'].map(host => toHost(host)),
		alive: () => world.alive.map(host => toHost(host)),
		bounds: () => ({overshoot: 1.5, slack: 5}),
		call: (async (_address: string, _method: string, params: typeof calls[number]) => {
			calls.push(params);
			return respond();
		}) as unknown as PeerRpc,
		onResult(result) {
			results.push(result);
		},
		now,
		suspendAwareNow: now,
		random: () => 0.5,
	});
	return {
		task, gates, calls, results, world,
	};
}

// Guards against calls for permits that cannot be had, and against a host that is kept from an upstream for good.
describe('the permits of a cold upstream at one host', () => {
	beforeEach(() => {
		vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	test('are asked for at the issuer, at the lower of two rates', async () => {
		const {task, calls, results} = createTask({stated: 3});
		expect(await task.acquire(otherId, 'r')).toBe(true);
		expect(calls.map(({perS}) => perS)).toEqual([3]);
		expect(results).toEqual(['granted']);
		task.stop();
	});

	test.each([
		['denies one', async () => ({isGranted: false, retryAfterMs: 700}), 'denied', 700],
		['does not respond', async () => {
			throw new Error('no response');
		}, 'unanswered', 500],
	])('close the upstream where the issuer %s', async (_name, respond, expected, closedMs) => {
		const {task, gates, results} = createTask({respond});
		expect(await task.acquire(otherId, 'r')).toBe(false);
		expect(results).toEqual([expected]);
		expect(gates.get(otherId)!.closedForMs(performance.now())).toBe(closedMs);
		task.stop();
	});

	test('are asked for by two requests at a time; others go elsewhere without a call', async () => {
		let answer = (_result: unknown): void => undefined;
		const {task, calls, gates} = createTask({
			respond: async () => new Promise(resolve => {
				answer = resolve;
			}),
		});
		const waiting = [task.acquire(otherId, 'r-1'), task.acquire(otherId, 'r-2')];
		expect(await task.acquire(otherId, 'r-3')).toBe(false);
		expect(calls.length).toBe(2);
		expect(gates.get(otherId)!.closedForMs(performance.now())).toBeGreaterThan(0);
		answer({isGranted: true, retryAfterMs: 0});
		expect(await waiting[1]).toBe(true);
		task.stop();
	});

	test('are issued by a host only once it has been the issuer for a while', async () => {
		const {task} = createTask();
		expect(await task.acquire(ownId, 'r')).toBe(false);
		await vi.advanceTimersByTimeAsync(2200);
		// The bucket is empty at first.
		await task.acquire(ownId, 'r');
		await vi.advanceTimersByTimeAsync(300);
		expect(await task.acquire(ownId, 'r')).toBe(true);
		expect(task.answerCold({
			host: 'h-1', id: otherId, perS: 11, isCharge: false,
		}).isGranted).toBe(false);
		task.stop();
	});

	test('are not asked for outside a majority, where an upstream is tried once in a while', async () => {
		const {task, calls, world} = createTask();
		world.alive = [];
		await vi.advanceTimersByTimeAsync(300);
		let granted = 0;
		for (let step = 0; step < 600; step++) {
			granted += await task.acquire(ownId, 'r') || await task.acquire(otherId, 'r') ? 1 : 0;
			await vi.advanceTimersByTimeAsync(100);
		}

		expect(calls).toEqual([]);
		expect(granted).toBeGreaterThan(0);
		// Two upstreams in 60 s, each once in half a second for each of three hosts at most.
		expect(granted).toBeLessThanOrEqual(2 * 60 / (3 * 0.166));
		task.stop();
	});

	test('count probes, and let none through that has no permit', async () => {
		const {task, calls} = createTask({respond: async () => ({isGranted: false, retryAfterMs: 700})});
		expect(await task.acquireProbe(otherId)).toBe(false);
		expect(await task.acquireProbe(otherId)).toBe(false);
		expect(calls.length).toBe(1);
		expect(task.chargeProbe(otherId)).toBe(0);
		expect(task.charge(otherId)).toBeGreaterThan(1000 / 11);
		expect(calls.map(({isCharge}) => isCharge)).toEqual([false, true]);
		task.stop();
	});
});
