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

type Services = (kvStoreAddress: string) => ReadonlyArray<Record<string, unknown>>;

/** A deployment that differs from the default one of the other tests. */
type Deployment = {
	readonly name: string;
	readonly services: Services;
	readonly upstreams: number;
	/** Additional fields of each upstream's registration. */
	readonly registered?: Record<string, unknown>;
	readonly settings?: Record<string, unknown>;
	readonly configuration?: Record<string, unknown>;
	/** Whether the requests for a model name the prompt's parts. */
	readonly hasParts: boolean;
};

const plain = {name: 'app'};
const engine = {
	slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 500_000, managed: true, models: [{name: 'm'}],
};
const weights = {models: [{name: 'm', version: 1, adapters: []}]};

const deployments: readonly Deployment[] = [
	{
		name: 'services without engines, and one upstream', services: () => [plain], upstreams: 1, hasParts: false,
	},
	{
		name: 'one engine and no KV store', services: () => [{...plain, engine}], upstreams: 1, registered: weights, hasParts: true,
	},
	{
		name: 'a store that is not managed', services: address => [{...plain, engine: {...engine, managed: false}}, {
			name: 'cache', kv_store_addr: address, zone: 'domain-a', kv_capacity_tokens: 20_000,
		}], upstreams: 2, registered: weights, hasParts: true,
	},
	{
		name: 'engines with no setting but the number of slots', services: () => [{...plain, engine: {slots: 2}}], upstreams: 2, registered: weights, hasParts: true,
	},
	{
		name: 'requests that list no prompt parts', services: () => [{...plain, engine}], upstreams: 2, registered: weights, hasParts: false,
	},
	{
		name: '30 services', services: () => [plain, ...Array.from({length: 29}, (_, index) => ({name: `other-${index}`, max_conns: 4}))], upstreams: 2, hasParts: false,
	},
	{
		name: 'a host alone in its failure domain and non-default bounds', services: () => [plain], upstreams: 2, hasParts: false,
		settings: {
			domain: 'domain-far', bounds: {
				retryRatio: 0.05, retrySlack: 1, retryWindowS: 3, graceS: 3, leaseMs: 700, versionMs: 3000,
			},
		},
	},
	{
		name: 'bounds left out of the settings', services: () => [plain], upstreams: 2, hasParts: false,
		settings: {
			bounds: {
				retryRatio: null, retrySlack: null, versionMs: null,
			},
		},
	},
	{
		name: 'a configuration without limits', services: () => [plain], upstreams: 2, hasParts: false, configuration: {limits: {}},
	},
];

let store: ObjectStoreServer;
let kvStore: KvStoreServer;
let upstreams: readonly UpstreamServer[];
let gateway: TestGateway | undefined;

beforeEach(async () => {
	[store, kvStore] = await Promise.all([createObjectStoreServer(), createKvStoreServer()]);
	upstreams = [];
});

afterEach(async () => {
	await gateway?.stop();
	for (const server of [store, kvStore, ...upstreams]) {
		server.stop();
	}
});

async function startDeployment(deployment: Deployment): Promise<TestGateway> {
	upstreams = await Promise.all(Array.from({length: deployment.upstreams}, async () => createUpstreamServer()));
	store.put('config', 'main', platformObjects.configuration(1, {services: deployment.services(kvStore.address), ...deployment.configuration}));
	store.put('versions', 'm', {model: 'm', version: 1});
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, deployment.registered));
	}

	gateway = await startTestGateway(store.address, deployment.settings);
	await waitUntilReady(gateway);
	return gateway;
}

describe('a deployment with', () => {
	test.each(deployments)('$name serves every kind of request', async deployment => {
		const {callers} = await startDeployment(deployment);
		const parts = deployment.hasParts ? 'Model: m\r\nToken-Count: 3000,64\r\nPrompt-Prefix: aa:500,bb:2000,cc:500\r\n' : '';
		const requests: ReadonlyArray<Parameters<typeof buildRawRequest>[0]> = [
			{target: '/read/x'},
			{method: 'POST', target: '/book/x', body: 'booking'},
			{
				method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000, headers: parts,
			},
		];
		for (const request of requests) {
			const response = await sendRawRequest(callers, buildRawRequest(request));
			expect([request!.target, response.status, response.isWhole]).toEqual([request!.target, 200, true]);
		}
	});
});
