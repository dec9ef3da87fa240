import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {knownNames, oddEntries} from '../support/odd-entries.js';
import {platformObjects} from '../support/platform-objects.js';
import {recordUncaughtErrors} from '../support/record-uncaught-errors.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const requestsPerHost = 16;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let gateways: readonly TestGateway[];
let uncaught: ReturnType<typeof recordUncaughtErrors>;

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer()]);
	store.put('config', 'main', platformObjects.configuration(5));
	store.put('servers', 'i-0', platformObjects.upstream(upstreams[0]!.address));
	gateways = [];
	uncaught = recordUncaughtErrors();
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}

	uncaught.stop();
});

async function startHosts(): Promise<void> {
	gateways = [...gateways, await startTestGateway(store.address), await startTestGateway(store.address)];
	await waitUntilReady(...gateways);
}

function putAll(kind: string): void {
	for (const [name, value] of Object.entries(oddEntries[kind]!)) {
		store.put(kind, `odd ${name}`, value);
	}
}

async function countServed(): Promise<number> {
	const responses = await Promise.all(gateways.flatMap(({callers}) =>
		Array.from({length: requestsPerHost}, async () => sendRawRequest(callers, buildRawRequest({method: 'POST', target: '/book/x', body: 'b'})))));
	return responses.filter(({status}) => status === 200).length;
}

/** Lists an upstream and waits until both hosts use it; a change of the configuration is in force too. */
async function expectChangesFollowed(): Promise<void> {
	store.put('servers', 'i-1', platformObjects.upstream(upstreams[1]!.address));
	store.put('config', 'main', platformObjects.configuration(6, {routes: [...platformObjects.configuration(6).routes, platformObjects.route({name: 'r-new', path_prefix: '/new/'})]}));
	for (const {callers} of gateways) {
		await waitUntil('the new route and upstream', async () => {
			const before = upstreams[1]!.receivedRequests.length;
			const {status} = await sendRawRequest(callers, buildRawRequest({target: '/new/x'}));
			return status === 200 && upstreams[1]!.receivedRequests.length > before;
		}, 8000);
	}
}

describe.each(Object.keys(oddEntries))('odd entries of kind %s', kind => {
	test('that are there before the hosts start are left out', async () => {
		putAll(kind);
		await startHosts();
		expect(await countServed()).toBe(2 * requestsPerHost);
		await expectChangesFollowed();
		expect(uncaught.errors).toEqual([]);
	}, 30_000);

	test('that come while the hosts run are left out', async () => {
		await startHosts();
		putAll(kind);
		expect(await countServed()).toBe(2 * requestsPerHost);
		await expectChangesFollowed();
		expect(await countServed()).toBe(2 * requestsPerHost);
		expect(uncaught.errors).toEqual([]);
	}, 30_000);
});

describe('an odd entry under the id of a sound upstream', () => {
	test('names no upstream, and the next sound one counts again', async () => {
		store.put('servers', 'i-1', platformObjects.upstream(upstreams[1]!.address));
		await startHosts();
		for (const value of Object.values(oddEntries.servers!)) {
			store.put('servers', 'i-1', value);
		}

		await waitUntil('the odd entry to count', async () => {
			const before = upstreams[1]!.receivedRequests.length;
			await countServed();
			return upstreams[1]!.receivedRequests.length === before;
		}, 8000);
		expect(await countServed()).toBe(2 * requestsPerHost);
		await expectChangesFollowed();
		expect(uncaught.errors).toEqual([]);
	}, 30_000);
});

const namedCases = Object.entries(knownNames).flatMap(([kind, name]) => Object.entries(oddEntries[kind]!).map(([odd, value]) => ({
	kind, name, odd, value,
})));

describe('an odd value of an object that all hosts read', () => {
	test.each(namedCases)('$kind: $odd', async ({kind, name, value}) => {
		store.put(kind, name, value);
		await startHosts();
		expect(await countServed()).toBe(2 * requestsPerHost);
		expect(uncaught.errors).toEqual([]);
	}, 30_000);
});

describe('ten thousand odd entries of upstreams', () => {
	test('delay no change', async () => {
		await startHosts();
		const entries = Object.values(oddEntries.servers!);
		for (let index = 0; index < 10_000; index++) {
			store.put('servers', `odd ${index}`, entries[index % entries.length]);
		}

		expect(await countServed()).toBe(2 * requestsPerHost);
		await expectChangesFollowed();
		expect(uncaught.errors).toEqual([]);
	}, 60_000);
});
