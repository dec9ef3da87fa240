import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sendRawRequest} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createKvStoreServer, type KvStoreServer} from '../support/create-kv-store-server.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';
import {formatScope} from '../../src/decide/kv-cache/format-scope.js';
import {createKvSharing} from '../../src/decide/kv-cache/create-kv-sharing.js';

/** Scope that is shared while the workspace `walled` is isolated, as in the configuration of these tests. */
const sharedScope = (version: number): string => formatScope(createKvSharing([{
	name: 'walled', keys: [], priority: undefined, isIsolated: true,
}]).scopeOf('m', version, undefined));

let store: ObjectStoreServer;
let kvStore: KvStoreServer;
let engine: UpstreamServer;
let gateways: TestGateway[];

const storeService = (address: string) => ({
	name: 'cache', kv_store_addr: address, zone: 'domain-a', kv_capacity_tokens: 20_000, link_mbps: 100_000, max_concurrent: 12, managed: true, first_ms: 0.5,
});
const engineService = {
	name: 'app', health_path: '/health', max_conns: 40, protocol: 'h1', tls: false,
	engine: {
		slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 500_000, managed: true, models: [{name: 'm'}],
	},
};

beforeEach(async () => {
	[store, kvStore, engine] = await Promise.all([createObjectStoreServer(), createKvStoreServer(), createUpstreamServer()]);
	gateways = [];
	store.put('config', 'main', platformObjects.configuration(1, {services: [engineService, storeService(kvStore.address)]}));
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

/** Sends a prompt of two shared parts and one unshared part; returns the KV cache headers that the engine received. */
async function sendPrompt(gateway: TestGateway, key = 'key-1'): Promise<Record<string, string | undefined>> {
	await sendRawRequest(gateway.callers, buildRawRequest({
		method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000, key,
		headers: 'Model: m\r\nToken-Count: 3000,64\r\nPrompt-Prefix: aa:500,bb:2000,cc:500\r\n',
	}));
	const {headers} = engine.receivedRequests.at(-1)!;
	return {
		scope: headers.get('cache-salt'), from: headers.get('kv-fetch'), to: headers.get('kv-save'), until: headers.get('kv-until'), version: headers.get('expect-version'),
	};
}

describe('stored KV cache', () => {
	test('is saved once no fetch from the store\'s previous epoch can be running, then fetched with a deadline on the store\'s clock', async () => {
		await startGateways();
		expect((await sendPrompt(gateways[0]!)).to).toBeUndefined();
		await waitUntil('saves to be allowed', async () => (await sendPrompt(gateways[0]!)).to === `${kvStore.address},${kvStore.address},-`);
		kvStore.save(sharedScope(1), 'aa', 500);
		kvStore.save(sharedScope(1), 'bb', 2000);
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!)).from === `${kvStore.address},${kvStore.address},-`);
		const kvHeaders = await sendPrompt(gateways[0]!);
		expect([kvHeaders.scope, kvHeaders.version, kvHeaders.to]).toEqual([sharedScope(1), '1', undefined]);
		expect(Number(kvHeaders.until)).toBeLessThanOrEqual(performance.now() + 3000);
	});

	test('of an isolated workspace has its own scope', async () => {
		await startGateways();
		expect([(await sendPrompt(gateways[0]!, 'key-1')).scope, (await sendPrompt(gateways[0]!, 'key-3')).scope]).toEqual([sharedScope(1), 'm/1/walled']);
	});

	test('is not fetched from a store that has restarted or is unresponsive', async () => {
		kvStore.save(sharedScope(1), 'aa', 500);
		await startGateways();
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!)).from === `${kvStore.address},-,-`);
		kvStore.restart();
		await waitUntil('no fetch', async () => (await sendPrompt(gateways[0]!)).from === undefined);
		kvStore.save(sharedScope(1), 'aa', 500);
		await waitUntil('fetches again', async () => (await sendPrompt(gateways[0]!)).from === `${kvStore.address},-,-`);
		kvStore.isUnresponsive = true;
		await waitUntil('no fetch from the unresponsive store', async () => (await sendPrompt(gateways[0]!)).from === undefined);
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
		kvStore.save(sharedScope(1), 'aa', 500);
		for (const gateway of gateways) {
			await waitUntil('fetches', async () => (await sendPrompt(gateway)).from === `${kvStore.address},-,-`);
		}
	});

	test('is listed by at most two of the hosts that start together', async () => {
		await startGateways(6);
		for (const gateway of gateways) {
			await waitUntil('saves to be allowed', async () => (await sendPrompt(gateway)).to === `${kvStore.address},${kvStore.address},-`);
		}

		// One host lists the store; a second one may list it if it has received no update for a while.
		expect(kvStore.listingCount()).toBeLessThanOrEqual(2);
	});

	test('whose event was lost or whose save was abandoned is found by listing the store again', async () => {
		await startGateways();
		await waitUntil('saves to be allowed', async () => (await sendPrompt(gateways[0]!)).to === `${kvStore.address},${kvStore.address},-`);
		kvStore.saveWithoutEvent(sharedScope(1), 'aa', 500);
		kvStore.savePartially(sharedScope(1), 'bb', 2000);
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!)).from === `${kvStore.address},-,-`);
		await waitUntil('the space of the abandoned save to be freed', () => kvStore.unfinished().length === 0, 45_000);
		expect(kvStore.parts()).toEqual([`${sharedScope(1)} aa`]);
	}, 60_000);

	test('of stale weights is freed, and that of the desired weights kept', async () => {
		kvStore.save(sharedScope(1), 'aa', 500);
		kvStore.save(sharedScope(2), 'aa', 500);
		await startGateways(2);
		store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 2, adapters: []}]}));
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the stale part to be freed', () => !kvStore.parts().includes(`${sharedScope(1)} aa`));
		expect(kvStore.parts()).toEqual([`${sharedScope(2)} aa`]);
	});
});
