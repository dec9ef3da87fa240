// Guards against docs/incidents/requests-to-a-resting-upstream.md.
import {describe, expect, test} from 'vitest';
import {respectRest} from '../../src/announcements/respect-rest.js';
import {type EngineClient} from '../../src/forwarding/engine-client.js';
import {type ResponseHead} from '../../src/forwarding/response-head.js';
import {type WeightUpdateOrder} from '../../src/forwarding/weight-update-order.js';
import {createTestRegistry, testUpstream as upstream} from '../support/create-test-registry.js';

const head: ResponseHead = {
	status: 503, requestId: undefined, isSigned: false, isNotRun: true, isMerged: false, isEncoded: false, upstreamId: undefined, weightVersion: undefined, retryAfterMs: 3000,
	announcement: {requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving: false},
	framing: 'length', isCloseAnnounced: false, mediaType: undefined, headers: [],
};

function createSystem() {
	let time = 0;
	const calls: string[] = [];
	const registry = createTestRegistry(() => ({abort: () => undefined, resume: () => undefined}), () => time);
	const record = (name: string) => async (): Promise<never> => {
		calls.push(name);
		return undefined as never;
	};

	const client = respectRest({
		report: record('report'), readStart: record('start'), order: record('order'), pollKvEvents: record('events'), listKvParts: record('parts'), freeKvParts: record('free'),
		async ping() {
			calls.push('ping');
			return false;
		},
		isUp: async () => true,
		stop: async () => undefined,
	} satisfies EngineClient, address => registry.restsForMs(address));
	return {
		registry, client, calls,
		setTime(at: number) {
			time = at;
		},
	};
}

describe('an upstream that asks for rest in the answer to a probe, a report or an order', () => {
	test.each([
		['at once', 0, true],
		['shortly before the end', 2999, true],
		['after the end', 3001, false],
	])('gets no request and no control call: %s', async (_name, at, isResting) => {
		const {registry, client, calls, setTime} = createSystem();
		registry.recordControlResponse(upstream.address, head, 0);
		setTime(at);
		expect(registry.listAvailable('app', at, 0)[0]!.closedForMs > 0).toBe(isResting);
		const results = await Promise.allSettled([client.report(upstream.address), client.order(upstream.address, 'i-0', {} as WeightUpdateOrder), client.readStart(upstream.address)]);
		expect(results.map(({status}) => status)).toEqual(Array.from({length: 3}, () => isResting ? 'rejected' : 'fulfilled'));
		// It has answered a moment ago, so its link works.
		expect(await client.ping(upstream.address, '/health', 100)).toBe(isResting);
		expect(calls).toEqual(isResting ? [] : ['report', 'order', 'start', 'ping']);
	});

	test.each([
		['a success', {status: 200}],
		['an answer of another upstream at the address', {status: 421}],
		['no time', {retryAfterMs: undefined}],
		['a time of zero', {retryAfterMs: 0}],
	])('does not rest after %s', (_name, changed) => {
		const {registry} = createSystem();
		registry.recordControlResponse(upstream.address, {...head, ...changed}, 0);
		expect(registry.restsForMs(upstream.address)).toBe(0);
	});

	test('is free at once when it starts again', () => {
		const {registry} = createSystem();
		registry.recordControlResponse(upstream.address, head, 0);
		registry.updateUpstreams([{...upstream, startedAt: 2}]);
		expect(registry.restsForMs(upstream.address)).toBe(0);
	});
});
