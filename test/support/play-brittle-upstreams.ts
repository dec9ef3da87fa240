import {expect} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from './build-raw-request.js';
import {type BrittleUpstream, createBrittleUpstream} from './create-brittle-upstream.js';
import {createObjectStoreServer} from './create-object-store-server.js';
import {platformObjects} from './platform-objects.js';
import {type RawResponse, sendRawRequest} from './send-raw-request.js';
import {startTestGateway, type TestGateway} from './start-test-gateway.js';
import {waitUntilReady} from './wait-until-ready.js';

const upstreamCount = 3;
/** Time from the statement to the first request that counts. */
const contactMs = 3000;
const judgedMs = 3000;
/** Falls allowed in the whole time. */
const maxFalls = 2;
/** Share of the load that the test has to offer, so that it tests what it says. */
const minOffered = 0.9;
const slots = 4;
const workMs = 150;

/** What three brittle upstreams can run in a second. */
export const brittleCapacityPerS = upstreamCount * slots * 1000 / workMs;

/** Hosts and brittle upstreams. */
export type BrittleSystem = Awaited<ReturnType<typeof startBrittleSystem>>;

/** One case of the table. */
export type BrittleCase = {
	/** Turned away at most in a second, as upstreams state it. */
	readonly limit: string;
	/** Requests that may wait at an upstream from the time on that counts. */
	readonly room: number;
	/** Failure domain of each host. */
	readonly domains: readonly string[];
	/** Offered, as a share of the capacity. */
	readonly load: number;
	/** Share of the capacity that is used at least. */
	readonly minUsed: number;
	/** What happens once requests count. */
	readonly disturb?: (system: BrittleSystem) => unknown;
};

/** Starts a store, upstreams and hosts. */
export async function startBrittleSystem(domains: readonly string[]) {
	const store = await createObjectStoreServer();
	const defaults = platformObjects.configuration(1);
	store.put('config', 'main', {...defaults, services: defaults.services.map(service => ({...service, max_conns: 4000}))});
	const upstreams = await Promise.all(Array.from({length: upstreamCount}, async () => createBrittleUpstream(slots, workMs)));
	const register = (index: number, born = 1_700_000_000_000 + index): void => {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstreams[index]!.server.address, {born, slots}));
	};

	for (const index of upstreams.keys()) {
		register(index);
	}

	const gateways: TestGateway[] = [];
	const addHost = async (domain: string): Promise<TestGateway> => {
		const gateway = await startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}});
		await waitUntilReady(gateway);
		gateways.push(gateway);
		return gateway;
	};

	await Promise.all(domains.map(async domain => addHost(domain)));
	await sleep(1300);
	return {
		store, upstreams, gateways, register, addHost,
		async stop() {
			await Promise.all(gateways.map(async gateway => gateway.stop()));
			store.stop();
			for (const {server} of upstreams) {
				server.stop();
			}
		},
	};
}

/** Sends requests at a steady rate to each host in turn; every fourth may run once. */
export async function sendToBrittle(gateways: readonly TestGateway[], durationMs: number, perS: number): Promise<readonly RawResponse[]> {
	const calls: Array<Promise<RawResponse>> = [];
	const startedAt = performance.now();
	for (let sent = 0; performance.now() - startedAt < durationMs; sent++) {
		calls.push(sendRawRequest(gateways[sent % gateways.length]!.callers, buildRawRequest({target: sent % 4 === 0 ? '/book/x' : '/read/x', deadlineMs: 2000})));
		await sleep(Math.max(0, startedAt + ((sent + 1) * 1000 / perS) - performance.now()));
	}

	return Promise.all(calls);
}

/** Lets all upstreams state a number, or nothing. */
export function setBrittle(upstreams: readonly BrittleUpstream[], brittle: string | undefined): void {
	for (const upstream of upstreams) {
		upstream.brittle = brittle;
	}
}

/** Plays a case: upstreams do not fall over, their room is used, and what is over is refused with a time to come back. */
export async function playBrittleUpstreams({limit, room, domains, load, minUsed, disturb = () => undefined}: BrittleCase): Promise<void> {
	const system = await startBrittleSystem(domains);
	const {upstreams, gateways} = system;
	const perS = brittleCapacityPerS * load;
	setBrittle(upstreams, limit);
	const before = sendToBrittle(gateways, contactMs, perS);
	await sleep(contactMs);
	for (const upstream of upstreams) {
		upstream.maxWaiting = room;
	}

	const from = performance.now();
	const requests = sendToBrittle(gateways, judgedMs, perS);
	await disturb(system);
	const responses = await requests;
	const until = performance.now();
	await before;
	await system.stop();
	const served = upstreams.flatMap(({served: times}) => times).filter(at => at >= from && at < until).length;
	const asked = perS * judgedMs / 1000;
	const possible = Math.min(asked, brittleCapacityPerS * judgedMs / 1000);
	expect(responses.length).toBeGreaterThanOrEqual(asked * minOffered);
	expect(upstreams.reduce((sum, {falls}) => sum + falls.length, 0)).toBeLessThanOrEqual(maxFalls);
	expect(served).toBeGreaterThanOrEqual(possible * minUsed);
	const isTrueRefusal = ({status, headers}: RawResponse): boolean => [429, 503].includes(status) && Number(headers.get('retry-after')) > 0;
	const wrong = responses.filter(response => response.status !== 200 && !isTrueRefusal(response));
	expect(wrong.map(({status, headers}) => [status, headers.get('retry-after')])).toEqual([]);
}
