import {
	afterEach, beforeEach, describe, expect, test, vi,
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

const stepMs = 2400;
const stepIntervalMs = 300;
/** Others read KV cache of replaced weights for 9 s after they learn of new ones, and fetch for 3 s more. */
const readEndMs = 12_000;
/** Fetches that rest on the state of a store before its restart end within this time. */
const maxFetchMs = 3000;

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
		services: kvStoreServices(kvStore.address),
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

/** Each step of the wall clock there and back ended waits for others earlier, so that memory was freed and written while others fetched it. */
describe('while the wall clock steps there and back', () => {
	test.each([['forward', stepMs], ['backward', -stepMs]])('KV cache of replaced weights is freed only after others have ended their reads: %s first', async (_name, offsetMs) => {
		kvStore.save(getSharedScope(1), 'aa', 500);
		gateway = await startTestGateway(store.address);
		await waitUntilReady(gateway);
		startSteps(offsetMs);
		store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 2, adapters: []}]}));
		const replacedAt = performance.now();
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the stale part to be freed', () => !kvStore.parts().includes(`${getSharedScope(1)} aa`), 45_000);
		expect(performance.now() - replacedAt).toBeGreaterThanOrEqual(readEndMs);
	}, 60_000);

	test('nothing is saved in a store that has restarted before fetches from its time before have ended', async () => {
		gateway = await startTestGateway(store.address);
		await waitUntilReady(gateway);
		await waitUntil('saves to be allowed', async () => (await sendPrompt(gateway!, engine)).to !== undefined);
		startSteps(stepMs);
		const restartedAt = performance.now();
		kvStore.restart();
		await waitUntil('saves to be forbidden', async () => (await sendPrompt(gateway!, engine)).to === undefined);
		await waitUntil('saves to be allowed again', async () => (await sendPrompt(gateway!, engine)).to !== undefined);
		expect(performance.now() - restartedAt).toBeGreaterThanOrEqual(maxFetchMs);
	}, 60_000);
});
