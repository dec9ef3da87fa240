import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sendPrompt} from '../support/send-prompt.js';
import {kvStoreServices} from '../support/kv-store-services.js';
import {getSharedScope} from '../support/get-shared-scope.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createKvStoreServer, type KvStoreServer} from '../support/create-kv-store-server.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

let store: ObjectStoreServer;
let kvStore: KvStoreServer;
let engine: UpstreamServer;
let gateways: TestGateway[];

beforeEach(async () => {
	[store, kvStore, engine] = await Promise.all([createObjectStoreServer(), createKvStoreServer(), createUpstreamServer()]);
	gateways = [];
	store.put('config', 'main', platformObjects.configuration(1, {services: kvStoreServices(kvStore.address)}));
	store.put('versions', 'm', {model: 'm', version: 1});
	store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	kvStore.stop();
	engine.stop();
});

async function startGateways(count = 1): Promise<void> {
	gateways = await Promise.all(Array.from({length: count}, async () => startTestGateway(store.address)));
	await waitUntilReady(...gateways);
}

describe('stored KV cache', () => {
	test('is saved once no fetch from the store\'s previous epoch can be running, then fetched with a deadline on the store\'s clock', async () => {
		await startGateways();
		expect((await sendPrompt(gateways[0]!, engine)).to).toBeUndefined();
		await waitUntil('saves to be allowed', async () => (await sendPrompt(gateways[0]!, engine)).to === `${kvStore.address},${kvStore.address},-`);
		kvStore.save(getSharedScope(1), 'aa', 500);
		kvStore.save(getSharedScope(1), 'bb', 2000);
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!, engine)).from === `${kvStore.address},${kvStore.address},-`);
		const kvHeaders = await sendPrompt(gateways[0]!, engine);
		expect([kvHeaders.scope, kvHeaders.version, kvHeaders.to]).toEqual([getSharedScope(1), '1', undefined]);
		expect(Number(kvHeaders.until)).toBeLessThanOrEqual(performance.now() + 3000);
	});

	test('of an isolated workspace has its own scope', async () => {
		await startGateways();
		expect([(await sendPrompt(gateways[0]!, engine, 'key-1')).scope, (await sendPrompt(gateways[0]!, engine, 'key-3')).scope]).toEqual([getSharedScope(1), 'm/1/walled']);
	});

	test('is not fetched from a store that has restarted or is unresponsive', async () => {
		kvStore.save(getSharedScope(1), 'aa', 500);
		await startGateways();
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!, engine)).from === `${kvStore.address},-,-`);
		kvStore.restart();
		await waitUntil('no fetch', async () => (await sendPrompt(gateways[0]!, engine)).from === undefined);
		kvStore.save(getSharedScope(1), 'aa', 500);
		await waitUntil('fetches again', async () => (await sendPrompt(gateways[0]!, engine)).from === `${kvStore.address},-,-`);
		kvStore.isUnresponsive = true;
		await waitUntil('no fetch from the unresponsive store', async () => (await sendPrompt(gateways[0]!, engine)).from === undefined);
	});

	test('is polled by one host, which forwards updates to the others', async () => {
		await startGateways(3);
		await waitUntil('one host to poll for all', async () => {
			const before = kvStore.calls();
			await new Promise(resolve => {
				setTimeout(resolve, 1500);
			});
			// One host polls about twice a second.
			return kvStore.calls() - before <= 4;
		});
		kvStore.save(getSharedScope(1), 'aa', 500);
		for (const gateway of gateways) {
			await waitUntil('fetches', async () => (await sendPrompt(gateway, engine)).from === `${kvStore.address},-,-`);
		}
	});

	test('is listed by at most two of the hosts that start together', async () => {
		await startGateways(6);
		for (const gateway of gateways) {
			await waitUntil('saves to be allowed', async () => (await sendPrompt(gateway, engine)).to === `${kvStore.address},${kvStore.address},-`);
		}

		// One host lists the store; a second one may list it if it has received no update for a while.
		expect(kvStore.listingCount()).toBeLessThanOrEqual(2);
	});

	test('whose event was lost or whose save was abandoned is found by listing the store again', async () => {
		await startGateways();
		await waitUntil('saves to be allowed', async () => (await sendPrompt(gateways[0]!, engine)).to === `${kvStore.address},${kvStore.address},-`);
		kvStore.saveWithoutEvent(getSharedScope(1), 'aa', 500);
		kvStore.savePartially(getSharedScope(1), 'bb', 2000);
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!, engine)).from === `${kvStore.address},-,-`);
		await waitUntil('the space of the abandoned save to be freed', () => kvStore.unfinished().length === 0, 45_000);
		expect(kvStore.parts()).toEqual([`${getSharedScope(1)} aa`]);
	}, 60_000);

	test('of stale weights is freed, and that of the desired weights kept', async () => {
		kvStore.save(getSharedScope(1), 'aa', 500);
		kvStore.save(getSharedScope(2), 'aa', 500);
		await startGateways(2);
		store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 2, adapters: []}]}));
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the stale part to be freed', () => !kvStore.parts().includes(`${getSharedScope(1)} aa`));
		expect(kvStore.parts()).toEqual([`${getSharedScope(2)} aa`]);
	});
});
