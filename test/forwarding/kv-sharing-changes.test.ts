import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sendPrompt} from '../support/send-prompt.js';
import {kvStoreServices} from '../support/kv-store-services.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createKvStoreServer, type KvStoreServer} from '../support/create-kv-store-server.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

const names = ['acme', 'birch', 'cedar', 'dogwood'] as const;

let store: ObjectStoreServer;
let kvStore: KvStoreServer;
let engine: UpstreamServer;
let gateways: TestGateway[];
let version = 0;

function putConfiguration(isolated: readonly string[]): void {
	version++;
	store.put('config', 'main', platformObjects.configuration(version, {
		services: kvStoreServices(kvStore.address),
		tenants: names.map(name => ({name, api_keys: [`key-${name}`, `key-${name}-${version}`], isolated: isolated.includes(name)})),
	}));
}

beforeEach(async () => {
	version = 0;
	[store, kvStore, engine] = await Promise.all([createObjectStoreServer(), createKvStoreServer(), createUpstreamServer()]);
	gateways = [];
	store.put('versions', 'm', {model: 'm', version: 1});
	store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	kvStore.stop();
	engine.stop();
});

async function start(): Promise<TestGateway> {
	const gateway = await startTestGateway(store.address);
	gateways.push(gateway);
	await waitUntilReady(gateway);
	return gateway;
}

/** Waits until every gateway has applied the newest configuration, and returns each workspace's scope, the same at all of them. */
async function readScopes(): Promise<Readonly<Record<string, string | undefined>>> {
	for (const gateway of gateways) {
		await waitUntil('the configuration', async () => (await sendPrompt(gateway, engine, `key-acme-${version}`)).scope !== undefined);
	}

	const scopes: Array<Readonly<Record<string, string | undefined>>> = [];
	for (const gateway of gateways) {
		const scopesHere: Record<string, string | undefined> = {};
		for (const name of names) {
			scopesHere[name] = (await sendPrompt(gateway, engine, `key-${name}`)).scope;
		}

		scopes.push(scopesHere);
	}

	expect(new Set(scopes.map(each => JSON.stringify(each))).size).toBe(1);
	return scopes[0]!;
}

/** What a workspace's requests had left under the shared scope was used by all others after it had become isolated. */
describe('after a change of who is isolated', () => {
	test('no request runs in a scope in which requests across a wall have run, and those that share go on sharing one', async () => {
		const runsByScope = new Map<string, Set<string>>();
		putConfiguration(['cedar']);
		await start();
		await start();
		for (const isolated of [['cedar'], ['cedar', 'acme'], ['cedar'], ['cedar', 'acme'], ['cedar', 'birch'], []]) {
			putConfiguration(isolated);
			// A host that has seen only the newest configuration.
			await start();
			const scopes = await readScopes();
			expect(new Set(names.filter(name => !isolated.includes(name)).map(name => scopes[name])).size).toBe(1);
			for (const name of names) {
				const makers = runsByScope.get(scopes[name]!) ?? new Set();
				runsByScope.set(scopes[name]!, makers.add(name));
				expect([...makers].filter(maker => maker !== name && (isolated.includes(maker) || isolated.includes(name))), `version ${version}: ${name} in ${scopes[name]}`).toEqual([]);
			}
		}
	}, 60_000);

	test('what a store keeps is not fetched across the wall, is freed there, and what is shared now is kept', async () => {
		putConfiguration([]);
		await start();
		const before = await readScopes();
		kvStore.save(before.birch!, 'aa', 500);
		await waitUntil('fetches', async () => (await sendPrompt(gateways[0]!, engine, 'key-birch')).from !== undefined);
		putConfiguration(['acme']);
		const after = await readScopes();
		expect((await sendPrompt(gateways[0]!, engine, 'key-birch')).from).toBeUndefined();
		kvStore.save(after.birch!, 'aa', 500);
		await waitUntil('fetches of what is shared now', async () => (await sendPrompt(gateways[0]!, engine, 'key-birch')).from !== undefined);
		await waitUntil('the space of what nobody shares any more', () => !kvStore.parts().includes(`${before.birch!} aa`), 45_000);
		expect(kvStore.parts()).toEqual([`${after.birch!} aa`]);
	}, 60_000);
});
