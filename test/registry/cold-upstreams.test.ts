import {describe, expect, test} from 'vitest';
import {type ResponseHead} from '../../src/forwarding/response-head.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createColdnessDater} from '../../src/object-store/create-coldness-dater.js';
import {type UpstreamRegistry} from '../../src/registry/upstream-registry.js';
import {createTestRegistry, testUpstream} from '../support/create-test-registry.js';

const coldStartMs = 6000;
const {id} = testUpstream;

/** A registry of one upstream that tolerates few requests while it is cold, at a clock that the test sets. */
function createColdRegistry(limit: {readonly coldPerS?: number; readonly coldStartMs?: number}) {
	const clock = {now: 0};
	const sent: string[] = [];
	const failures: string[] = [];
	let fail: ((error: Error, wasSent: boolean) => void) | undefined;
	const registry = createTestRegistry((request, listener) => {
		sent.push(request.id);
		fail = listener.onFail;
		return {abort: () => undefined, resume: () => undefined};
	}, () => clock.now, () => 40, {findColdLimit: () => limit});
	return {
		clock,
		sent,
		failures,
		registry,
		/** Sends a request that was placed at the given start. */
		async send(placed: Pick<Upstream, 'id' | 'startedAt'> = testUpstream) {
			registry.send(placed, {
				id: `r-${sent.length}`, method: 'GET', target: '/', headers: [], body: undefined,
			}, {waitingTokens: 0, heldTokens: 0, priority: 0}, {
				onHead: () => undefined, onData: () => true, onEnd: () => true,
				onFail(error) {
					failures.push(error.message);
				},
			});
			await Promise.resolve();
		},
		breakConnection(code: string, wasSent: boolean) {
			fail!(Object.assign(new Error('broken'), {code}), wasSent);
		},
	};
}

const coldForMs = (registry: UpstreamRegistry, now: number): number => registry.coldGate(id)!.forMs(now);
const head = (stated: object, status = 200): ResponseHead => ({
	status, requestId: 'r', isSigned: true, announcement: {
		requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving: false, ...stated,
	},
} as unknown as ResponseHead);

// Guards against a request that was placed, or permitted, before the upstream started again under its id.
describe('a request to an upstream that is cold by the time of the send', () => {
	test('is not sent without a permit, and goes elsewhere as not run', async () => {
		const {registry, send, sent, failures} = createColdRegistry({coldPerS: 11, coldStartMs});
		await send();
		registry.markCold([id], 3000, 0);
		await send();
		expect([sent.length, failures]).toEqual([1, ['the upstream has become cold']]);
	});

	test('is sent with a permit, once for each', async () => {
		const {registry, send, sent} = createColdRegistry({coldPerS: 11, coldStartMs});
		registry.markCold([id], 3000, 0);
		registry.coldGate(id)!.grant(0);
		await send();
		await send();
		expect(sent.length).toBe(1);
	});

	test('is not sent with a permit that was asked for long ago', async () => {
		const {registry, send, sent, clock} = createColdRegistry({coldPerS: 11, coldStartMs});
		registry.markCold([id], 3000, 0);
		registry.coldGate(id)!.grant(0);
		clock.now = 151;
		await send();
		expect(sent.length).toBe(0);
	});

	test('is not sent with a permit for an earlier start of it', async () => {
		const {registry, send, sent, failures} = createColdRegistry({coldPerS: 11, coldStartMs});
		registry.markCold([id], 3000, 0);
		registry.coldGate(id)!.grant(0);
		const restarted = {...testUpstream, startedAt: 2, coldForMs: 6000};
		registry.updateUpstreams([restarted]);
		await send();
		await send(restarted);
		expect([sent.length, failures]).toEqual([0, ['the upstream has left', 'the upstream has become cold']]);
	});

	test('is sent as ever where the configuration limits nothing', async () => {
		const {registry, send, sent} = createColdRegistry({coldStartMs});
		registry.markCold([id], 3000, 0);
		registry.updateUpstreams([{...testUpstream, coldForMs: 6000}]);
		await send();
		expect(sent.length).toBe(1);
		expect(registry.listAvailable('app', 0, 0)[0]!.isCold).toBeUndefined();
		expect(registry.listCold(0)).toEqual([]);
	});
});

type Registry = ReturnType<typeof createColdRegistry>;

const sources: ReadonlyArray<readonly [string, (system: Registry) => unknown, number]> = [
	['an entry of the list', ({registry}) => {
		registry.updateUpstreams([{
			...testUpstream, coldForMs: 4000, coldAskedAt: 0, coldAnsweredAt: 0,
		}]);
	}, 4000],
	['a start under its id, of which the entry says nothing', ({registry}) => {
		registry.updateUpstreams([{...testUpstream, startedAt: 2}]);
	}, coldStartMs],
	['a start under its id that says to be warm', ({registry}) => {
		registry.updateUpstreams([{...testUpstream, startedAt: 2, coldForMs: 0}]);
	}, 0],
	['an entry that was gone and is back', ({registry}) => {
		registry.updateUpstreams([]);
		registry.updateUpstreams([testUpstream]);
	}, coldStartMs],
	['a start of this moment, of which the entry says nothing', ({registry}) => {
		registry.updateUpstreams([{...testUpstream, id: 'i-1'}, {...testUpstream, startedAt: Date.now() + 10_000}]);
	}, coldStartMs],
	['a health response', ({registry}) => {
		registry.recordControlResponse(testUpstream.address, head({coldForMs: 2500}), 0);
	}, 2500],
	['a health response of another instance at the address', ({registry}) => {
		registry.recordControlResponse(testUpstream.address, head({coldForMs: 2500}, 421), 0);
	}, 0],
	['a refused connection', async ({send, breakConnection}) => {
		await send();
		breakConnection('ECONNREFUSED', false);
	}, coldStartMs],
	['a connection that was reset under a request', async ({send, breakConnection}) => {
		await send();
		breakConnection('ECONNRESET', true);
	}, coldStartMs],
	['a refused connection, and a health response that says to be warm', async ({send, breakConnection, registry}) => {
		await send();
		breakConnection('ECONNREFUSED', false);
		registry.recordControlResponse(testUpstream.address, head({coldForMs: 0}), 1);
	}, 0],
	['what another host says to one that starts', ({registry}) => {
		registry.recordReportedCold([{id, startedAt: testUpstream.startedAt, forMs: 1500}], 0);
	}, 1500],
	['what another host says of an earlier start', ({registry}) => {
		registry.recordReportedCold([{id, startedAt: 0, forMs: 1500}], 0);
	}, 0],
	['the return of its domain', ({registry}) => {
		registry.markCold([id, 'i-unknown'], coldStartMs, 0);
	}, coldStartMs],
	['the return of its domain, and an entry that is newer and says to be warm', ({registry}) => {
		registry.markCold([id], coldStartMs, -10);
		registry.updateUpstreams([{
			...testUpstream, coldForMs: 0, coldAskedAt: -5, coldAnsweredAt: 0,
		}]);
	}, 0],
	['the return of its domain, and an entry that is older and says to be warm', ({registry}) => {
		registry.markCold([id], coldStartMs, 0);
		registry.updateUpstreams([{
			...testUpstream, coldForMs: 0, coldAskedAt: -5, coldAnsweredAt: 0,
		}]);
	}, coldStartMs],
];

// Guards against a source of coldness that is not heard.
describe('an upstream is taken to be cold', () => {
	test.each(sources)('for as long as its source says: %s', async (_name, act, expected) => {
		const system = createColdRegistry({coldPerS: 11, coldStartMs});
		await act(system);
		expect(coldForMs(system.registry, 0)).toBe(expected);
		expect(system.registry.listAvailable('app', 0, 0).find(({upstream}) => upstream.id === id)!.isCold ?? false).toBe(expected > 0);
	});

	test('and is closed to this host only for as long as it is', () => {
		const {registry} = createColdRegistry({coldPerS: 11, coldStartMs});
		registry.markCold([id], 1000, 0);
		registry.coldGate(id)!.closeUntil(5000);
		expect(registry.listAvailable('app', 900, 0)[0]!.closedForMs).toBe(4100);
		expect(registry.listAvailable('app', 1000, 0)[0]!.closedForMs).toBe(0);
	});
});

// Guards against an entry that is read again and again and counts as cold anew each time.
describe('an entry that says for how long an upstream is cold', () => {
	const read = (date: ReturnType<typeof createColdnessDater>, revision: number, forMs: number, confirmedAt?: number) => {
		const upstream = {...testUpstream, coldForMs: forMs};
		const {coldAskedAt, coldAnsweredAt} = date(upstream, {
			name: id, epoch: 1, revision, value: {},
		}, confirmedAt);
		return [coldAskedAt, coldAnsweredAt];
	};

	test('counts from its first reading while it stays the same', () => {
		const clock = {now: 1000};
		const date = createColdnessDater({monotonic: () => clock.now, suspendAware: () => clock.now + 50_000});
		expect(read(date, 7, 4000, 50_900)).toEqual([900, 1000]);
		clock.now = 3000;
		expect(read(date, 7, 4000, 52_900)).toEqual([900, 1000]);
		expect(read(date, 7, 1500, 52_900)).toEqual([2900, 3000]);
		clock.now = 4000;
		expect(read(date, 8, 1500)).toEqual([Number.NEGATIVE_INFINITY, 4000]);
	});

	test('has no times where it says nothing', () => {
		const date = createColdnessDater({monotonic: () => 0, suspendAware: () => 0});
		expect(date(testUpstream, {
			name: id, epoch: 1, revision: 1, value: {},
		}, 0)).toBe(testUpstream);
	});
});
