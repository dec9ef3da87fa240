import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createLimitingUpstream} from '../support/create-limiting-upstream.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const coldPerS = 4;
const bound = (coldPerS * 1.5) + 5;
const coldMs = 4000;
const requestsPerS = 40;
/** Time in which hosts hear of each other, and of the entries. */
const settleMs = 3500;

/** Starts a store, three hosts of two failure domains, and upstreams of a service with a limit on cold ones. */
async function startSystem(upstreamCount: number, limit: object) {
	const store = await createObjectStoreServer();
	const configuration = platformObjects.configuration(1);
	store.put('config', 'main', {...configuration, services: configuration.services.map(service => ({...service, max_conns: 400, ...limit}))});
	const upstreams = await Promise.all(Array.from({length: upstreamCount}, async () => createLimitingUpstream()));
	const put = (index: number, changed: object): void => {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstreams[index]!.server.address, {slots: 64, ...changed}));
	};

	for (const index of upstreams.keys()) {
		put(index, {born: 1_700_000_000_000});
	}

	const gateways = await Promise.all(['domain-a', 'domain-a', 'domain-b'].map(async domain => startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}})));
	await waitUntilReady(...gateways);
	await sleep(settleMs);
	return {
		upstreams,
		put,
		/** Sends at a steady rate to each host in turn. */
		async send(durationMs: number): Promise<readonly RawResponse[]> {
			const calls: Array<Promise<RawResponse>> = [];
			const startedAt = performance.now();
			for (let sent = 0; performance.now() - startedAt < durationMs; sent++) {
				calls.push(sendRawRequest(gateways[sent % gateways.length]!.callers, buildRawRequest({target: '/read/x', deadlineMs: 4000, id: `c-${Math.round(performance.now() * 100)}`})));
				await sleep(Math.max(0, startedAt + ((sent + 1) * 1000 / requestsPerS) - performance.now()));
			}

			return Promise.all(calls);
		},
		async stop() {
			await Promise.all(gateways.map(async gateway => gateway.stop()));
			store.stop();
			for (const {server} of upstreams) {
				server.stop();
			}
		},
	};
}

const countBusiest = (arrivals: readonly number[], from: number, until: number): number => {
	const inside = arrivals.filter(at => at >= from && at < until);
	return Math.max(0, ...inside.map(at => inside.filter(other => other >= at && other < at + 1000).length));
};

const countServed = (responses: readonly RawResponse[]): number => responses.filter(({status}) => status === 200).length;

// Guards against hosts that together send a cold upstream more than it bears, wait for it while others serve, or keep from it once it is warm.
describe('hosts before an upstream that starts again', () => {
	test('send elsewhere while it is cold, and there once it is warm', async () => {
		const {upstreams, put, send, stop} = await startSystem(2, {cold_start_s: coldMs / 1000, cold_per_s: coldPerS});
		put(1, {born: 1_700_000_100_000, cold_remaining_ms: coldMs});
		await sleep(1000);
		const from = performance.now();
		const during = await send(2000);
		const busiest = countBusiest(upstreams[1]!.arrivals, from, performance.now());
		await sleep(2500);
		const warmFrom = performance.now();
		const after = await send(1500);
		const warm = upstreams[1]!.arrivals.filter(at => at >= warmFrom).length;
		await stop();
		expect(busiest).toBeLessThanOrEqual(bound);
		expect(countServed(during)).toBe(during.length);
		expect(countServed(after)).toBe(after.length);
		expect(warm).toBeGreaterThan(after.length * 0.2);
	});

	test('send it no more than it bears where there is no other, and refuse the rest with a time to come back', async () => {
		const {upstreams, put, send, stop} = await startSystem(1, {cold_start_s: coldMs / 1000, cold_per_s: coldPerS});
		put(0, {born: 1_700_000_100_000, cold_remaining_ms: coldMs});
		await sleep(1000);
		const from = performance.now();
		const during = await send(2000);
		const busiest = countBusiest(upstreams[0]!.arrivals, from, performance.now());
		await sleep(2500);
		const after = await send(1000);
		await stop();
		expect(busiest).toBeLessThanOrEqual(bound);
		expect(busiest).toBeGreaterThan(0);
		const refused = during.filter(({status}) => status !== 200);
		expect(refused.length).toBeGreaterThan(0);
		expect(refused.filter(({status, headers}) => status !== 429 || !(Number(headers.get('retry-after')) > 0)).map(({status}) => status)).toEqual([]);
		expect(after.filter(({status}) => status !== 200)).toEqual([]);
	});

	test.each([
		['the configuration names no rate', {cold_start_s: 4}],
		['the rate is 0', {cold_start_s: 4, cold_per_s: 0}],
	])('send as ever where nothing limits cold upstreams: %s', async (_name, limit) => {
		const {upstreams, put, send, stop} = await startSystem(1, limit);
		put(0, {born: 1_700_000_100_000, cold_remaining_ms: coldMs});
		await sleep(1000);
		const during = await send(1500);
		await stop();
		expect(countServed(during)).toBe(during.length);
		expect(upstreams[0]!.arrivals.length).toBe(during.length);
	});
});
