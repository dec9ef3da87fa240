import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, sendSignedResponse, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const slots = 32;
/** Fewer than one host's connections to both upstreams carry. */
const concurrent = 20;
/** Long enough that requests are in flight at the same time. */
const answerMs = 40;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let gateways: readonly TestGateway[];

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = [await createUpstreamServer(), await createUpstreamServer()];
	gateways = [];
	for (const upstream of upstreams) {
		upstream.answer = (request, socket) => {
			setTimeout(() => {
				sendSignedResponse(request, socket);
			}, answerMs);
		};
	}

	store.put('config', 'main', platformObjects.configuration(1));
	store.put('servers', 'i-0', platformObjects.upstream(upstreams[0]!.address, {slots}));
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

async function start(settings: Record<string, unknown>): Promise<void> {
	gateways = [await startTestGateway(store.address, settings), await startTestGateway(store.address, settings)];
	await waitUntilReady(...gateways);
}

async function countLimited(gateway: TestGateway): Promise<number> {
	const response = await fetch(`http://${gateway.metrics}/metrics`);
	const line = (await response.text()).split('\n').find(each => each.startsWith('hemlockpier_limited_upstreams{'));
	return Number(line?.split(' ').at(-1));
}

const join = (): void => {
	store.put('servers', 'i-1', platformObjects.upstream(upstreams[1]!.address, {slots}));
};

describe('an upstream that joins', () => {
	// Guards against parts that are not connected: the list, the limit, answers, reports between hosts and metrics.
	test('is limited at all hosts until its answers are on time, and requests are served meanwhile', async () => {
		// The quiet time never ends within the test, so only answers can raise the limit.
		await start({pace: {quietMs: 1e9}});
		join();
		await waitUntil('both hosts to limit the upstream', async () => (await Promise.all(gateways.map(async gateway => countLimited(gateway)))).every(count => count === 1));
		const statuses = new Set<number | undefined>();
		await waitUntil('the limit to end at both hosts', async () => {
			const answers = await Promise.all(Array.from({length: concurrent}, async () => sendRawRequest(gateways[0]!.callers, buildRawRequest())));
			for (const {status} of answers) {
				statuses.add(status);
			}

			return (await Promise.all(gateways.map(async gateway => countLimited(gateway)))).every(count => count === 0);
		});
		expect([...statuses]).toEqual([200]);
	});

	// Guards against deployments without the setting that behave differently.
	test('is not limited where the settings have no pace', async () => {
		await start({});
		join();
		await waitUntil('the upstream to serve', async () => {
			await sendRawRequest(gateways[0]!.callers, buildRawRequest());
			return upstreams[1]!.receivedRequests.some(({target}) => target !== '/health');
		});
		expect(await countLimited(gateways[0]!)).toBe(0);
	});
});
