import {describe, expect, test} from 'vitest';
import {defaultPaceSettings} from '../../src/decide/pace/default-pace-settings.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createUpstreamPaces} from '../../src/pace/create-upstream-paces.js';
import {testUpstream} from '../support/create-test-registry.js';

const upstream: Upstream = {...testUpstream, slots: 32};
const idle = {inFlight: 0, waitingSince: undefined, isReachable: true} as const;
const expectedMs = 100;

/** Creates the limits of one host whose clock the test moves. */
function createHost({isPaced = true, isCold = false, otherHosts = 0, runningForMs = Number.POSITIVE_INFINITY} = {}) {
	const clock = {now: 0};
	const counts = {setbacks: 0, turnedAway: 0};
	const paces = createUpstreamPaces({
		settings: defaultPaceSettings, isPaced: () => isPaced, isCold: () => isCold, others: () => ({count: otherHosts, reportAgeMs: 100}),
		onSetback() {
			counts.setbacks++;
		},
		onTurnedAway() {
			counts.turnedAway++;
		},
		runningForMs: () => runningForMs,
		now: () => clock.now,
		random: () => 0.5,
	});
	const answer = (tookMs: number, inFlight: number): void => {
		const request = paces.track(upstream.id, {expectedMs, inFlight});
		clock.now += tookMs;
		request.recordHead(false);
	};

	return {
		clock, counts, paces, answer,
	};
}

describe('the limit of an upstream', () => {
	test.each([
		['that has joined', {}, true, upstream, {limit: 4, isLimited: true}],
		['that a host finds as it starts', {}, false, upstream, {limit: 32, isLimited: false}],
		['that a host finds as it starts, with an entry that states that it is cold', {isCold: true}, false, upstream, {limit: 4, isLimited: true}],
		['that is not paced', {isPaced: false}, true, upstream, undefined],
		['that states no slots', {}, true, {...upstream, slots: 1}, undefined],
	] as const)('of an upstream %s', (_name, options, hasStarted, added, expected) => {
		const {paces} = createHost(options);
		paces.add(added, hasStarted);
		expect(paces.view(added.id, idle)).toEqual(expected);
	});

	// Guards against deployments without the setting that send more than before.
	test('is neither followed nor reported where upstreams are not paced', () => {
		const {paces, answer, counts} = createHost({isPaced: false});
		paces.add(upstream, true);
		for (let index = 0; index < 50; index++) {
			answer(expectedMs * 10, 20);
			paces.track(upstream.id, {expectedMs, inFlight: 1}).recordFailure(true);
		}

		expect(paces.listReported()).toBe(undefined);
		expect(counts).toEqual({setbacks: 0, turnedAway: 0});
	});

	test('rises with answers on time and falls with slow ones, relative to those of warm upstreams', () => {
		const {paces, answer} = createHost();
		paces.add(upstream, true);
		answer(expectedMs, 4);
		answer(expectedMs, 4);
		expect(paces.view(upstream.id, idle)?.limit).toBe(8);
		for (let index = 0; index < 4; index++) {
			answer(expectedMs * 3, 8);
		}

		expect(paces.view(upstream.id, idle)?.limit).toBe(4);
	});

	// Guards against a service whose answers take longer than the latency model predicts: its warm upstreams would all be limited.
	test('does not fall where all answers of the service take three times the prediction from the begin on', () => {
		const {paces, answer, clock} = createHost();
		paces.add(upstream, false);
		for (let index = 0; index < 400; index++) {
			answer(expectedMs * 3, 8);
			clock.now += 20;
			paces.view(upstream.id, idle);
		}

		expect(paces.view(upstream.id, idle)).toEqual({limit: 32, isLimited: false});
	});

	// Guards against answers that wait for this process, and against the jitter of answers that take a millisecond.
	test.each([
		['stood still while the answers waited', {runningForMs: 50}, expectedMs * 10],
		['has other work for some milliseconds', {}, expectedMs * 0.4],
	])('does not fall at a host that %s', (_name, options, tookMs) => {
		const {paces, answer} = createHost(options);
		paces.add(upstream, false);
		for (let index = 0; index < 200; index++) {
			answer(1, 8);
		}

		for (let index = 0; index < 20; index++) {
			answer(tookMs, 8);
		}

		expect(paces.view(upstream.id, idle)).toEqual({limit: 32, isLimited: false});
	});

	test('starts over when connections are refused, once for all requests that find it so', () => {
		const {paces, counts, clock} = createHost();
		paces.add(upstream, false);
		const requests = Array.from({length: 20}, () => paces.track(upstream.id, {expectedMs, inFlight: 20}));
		clock.now += 10;
		for (const request of requests) {
			request.recordFailure(true);
		}

		expect(paces.view(upstream.id, idle)).toEqual({limit: 4, isLimited: true});
		expect(counts.setbacks).toBe(1);
	});

	// Guards against an upstream that rises by quiet time while it is dark, and is flooded as it comes back.
	test('starts over where nobody reaches the upstream, and does not rise until it is back', () => {
		const {paces, clock} = createHost();
		paces.add(upstream, false);
		for (; clock.now < 8000; clock.now += 100) {
			paces.view(upstream.id, {...idle, isReachable: false});
		}

		expect(paces.view(upstream.id, idle)?.limit).toBe(4);
		clock.now += 100;
		expect(paces.view(upstream.id, idle)?.limit).toBe(4);
	});

	// Guards against hosts that are cut off and hold back all others.
	test('stays where only this host cannot reach the upstream', () => {
		const {paces, counts} = createHost();
		paces.add(upstream, false);
		expect(paces.view(upstream.id, {inFlight: 3, waitingSince: undefined, isReachable: false})).toEqual({limit: 32, isLimited: false});
		expect(counts.setbacks).toBe(0);
	});
});

describe('hosts that report to each other', () => {
	test('rise together by the answers of all of them', () => {
		const [one, two] = [createHost(), createHost()];
		one.paces.add(upstream, true);
		two.paces.add(upstream, true);
		one.answer(expectedMs, 4);
		two.answer(expectedMs, 4);
		two.paces.recordReported('one', one.paces.listReported()!);
		expect(two.paces.view(upstream.id, idle)?.limit).toBe(8);
		one.paces.recordReported('two', two.paces.listReported()!);
		expect(one.paces.view(upstream.id, idle)?.limit).toBe(8);
	});

	// Guards against reports of an earlier start under the same id.
	test('ignore what is said of another start', () => {
		const [one, two] = [createHost(), createHost()];
		one.paces.add({...upstream, startedAt: 2}, true);
		two.paces.add(upstream, false);
		two.paces.recordReported('one', one.paces.listReported()!);
		two.paces.recordReported('one', [{
			id: upstream.id, startedAt: 2, setbacks: 3, limit: 1, onTime: 0, slow: 9,
		}]);
		expect(two.paces.view(upstream.id, idle)?.limit).toBe(32);
	});

	// Guards against a host that has started again and whose findings all others ignore as older ones.
	test('tell a host that knows an older limit', () => {
		const {paces, clock} = createHost();
		paces.add(upstream, false);
		paces.recordReported('one', [{
			id: upstream.id, startedAt: 1, setbacks: 3, limit: 32, onTime: 0, slow: 0,
		}]);
		clock.now += 10_000;
		expect(paces.listReported()).toBe(undefined);
		paces.recordReported('two', [{
			id: upstream.id, startedAt: 1, setbacks: 1, limit: 16, onTime: 0, slow: 0,
		}]);
		expect(paces.listReported()).toEqual([{
			id: upstream.id, startedAt: 1, setbacks: 3, limit: 32, onTime: 0, slow: 0,
		}]);
	});

	test('each take a part of the room, and count what goes elsewhere', () => {
		const {paces, counts} = createHost({otherHosts: 59});
		paces.add(upstream, true);
		const taken = Array.from({length: 20}, () => paces.tryTake(upstream.id, {limit: 4, inFlight: 0})).filter(Boolean).length;
		expect(taken).toBeLessThan(4);
		expect(counts.turnedAway).toBe(20 - taken);
	});
});
