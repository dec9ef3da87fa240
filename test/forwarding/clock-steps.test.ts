import {
	afterEach, beforeEach, describe, expect, test, vi,
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

const stepMs = 2400;
const stepIntervalMs = 300;
/** Others read KV cache of replaced weights for 9 s after they learn of new ones, and fetch for 3 s more. */
const readEndMs = 12_000;
/** Fetches that rest on the state of a store before its restart end within this time. */
const maxFetchMs = 3000;

/** Scope that is shared while the workspace `walled` is isolated, as in the configuration of these tests. */
const sharedScope = (version: number): string => formatScope(createKvSharing([{
	name: 'walled', keys: [], priority: undefined, isIsolated: true,
}]).scopeOf('m', version, undefined));

let store: ObjectStoreServer;
let kvStore: KvStoreServer;
let engine: UpstreamServer;
let gateway: TestGateway | undefined;
let stepping: NodeJS.Timeout | undefined;
let wallOffsetMs = 0;

beforeEach(async () => {
	const realNow = Date.now;
	wallOffsetMs = 0;
	vi.spyOn(Date, 'now').mockImplementation(() => realNow() + wallOffsetMs);
	[store, kvStore, engine] = await Promise.all([createObjectStoreServer(), createKvStoreServer(), createUpstreamServer()]);
	store.put('config', 'main', platformObjects.configuration(1, {
		services: [
			{
				name: 'app', health_path: '/health', max_conns: 40, protocol: 'h1', tls: false,
				engine: {
					slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 500_000, managed: true, models: [{name: 'm'}],
				},
			},
			{
				name: 'cache', kv_store_addr: kvStore.address, zone: 'domain-a', kv_capacity_tokens: 20_000, link_mbps: 100_000, max_concurrent: 12, managed: true, first_ms: 0.5,
			},
		],
	}));
	store.put('versions', 'm', {model: 'm', version: 1});
	store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
});

afterEach(async () => {
	clearInterval(stepping);
	vi.restoreAllMocks();
	await gateway?.stop();
	store.stop();
	kvStore.stop();
	engine.stop();
});

/** Steps the wall clock there and back, again and again. */
function startSteps(offsetMs: number): void {
	stepping = setInterval(() => {
		wallOffsetMs = wallOffsetMs === 0 ? offsetMs : 0;
	}, stepIntervalMs);
}

async function sendPrompt(): Promise<string | undefined> {
	await sendRawRequest(gateway!.callers, buildRawRequest({
		method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000, key: 'key-1',
		headers: 'Model: m\r\nToken-Count: 3000,64\r\nPrompt-Prefix: aa:500,bb:2000,cc:500\r\n',
	}));
	return engine.receivedRequests.at(-1)!.headers.get('kv-save');
}

/** Each step of the wall clock there and back ended waits for others earlier, so that memory was freed and written while others fetched it. */
describe('while the wall clock steps there and back', () => {
	test.each([['forward', stepMs], ['backward', -stepMs]])('KV cache of replaced weights is freed only after others have ended their reads: %s first', async (_name, offsetMs) => {
		kvStore.save(sharedScope(1), 'aa', 500);
		gateway = await startTestGateway(store.address);
		await waitUntilReady(gateway);
		startSteps(offsetMs);
		store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 2, adapters: []}]}));
		const replacedAt = performance.now();
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the stale part to be freed', () => !kvStore.parts().includes(`${sharedScope(1)} aa`), 45_000);
		expect(performance.now() - replacedAt).toBeGreaterThanOrEqual(readEndMs);
	}, 60_000);

	test('nothing is saved in a store that has restarted before fetches from its time before have ended', async () => {
		gateway = await startTestGateway(store.address);
		await waitUntilReady(gateway);
		await waitUntil('saves to be allowed', async () => await sendPrompt() !== undefined);
		startSteps(stepMs);
		const restartedAt = performance.now();
		kvStore.restart();
		await waitUntil('saves to be forbidden', async () => await sendPrompt() === undefined);
		await waitUntil('saves to be allowed again', async () => await sendPrompt() !== undefined);
		expect(performance.now() - restartedAt).toBeGreaterThanOrEqual(maxFetchMs);
	}, 60_000);
});
