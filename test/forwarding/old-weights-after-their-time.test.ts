import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createLink, type Link} from '../support/create-link.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createWeightedEngine, type WeightedEngine} from '../support/create-weighted-engine.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Time after new weights are named by which no request may begin on older ones. */
const versionMs = 4000;
/** Requests may wait in an engine's queue for 2.5 s, so none is sent to old weights after this. */
const usableMs = versionMs - 2500 - 100;
/** A host that took the weights for new when it learned of them late used old ones up to here. */
const watchedMs = versionMs + 900;
/** After this, hosts watch the store and hear each other. */
const settleMs = 3000;
const requestIntervalMs = 80;

/** A host that can be killed and started again under its name and addresses, and cut off from the store. */
type Host = {
	gateway: TestGateway;
	readonly toStore: Link;
	readonly start: () => Promise<void>;
};

let store: ObjectStoreServer;
let engine: WeightedEngine;
let hosts: readonly Host[];
let namedAt = 0;

async function createHost(): Promise<Host> {
	const [callers, peers, reports] = await findTestPorts(3);
	const toStore = await createLink(store.address);
	const open = async (): Promise<TestGateway> => startTestGateway(toStore.address, {
		name: `host-${callers}`, callers: `127.0.0.1:${callers}`, peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`, bounds: {versionMs, retrySlack: 1000},
	});
	const host: Host = {
		gateway: await open(),
		toStore,
		async start() {
			host.gateway = await open();
			await waitUntilReady(host.gateway);
		},
	};
	return host;
}

beforeEach(async () => {
	store = await createObjectStoreServer();
	engine = await createWeightedEngine();
	store.put('config', 'main', platformObjects.configuration(1));
	store.put('versions', 'm', {model: 'm', version: 1});
	store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
	hosts = await Promise.all(Array.from({length: 3}, async () => createHost()));
	await waitUntilReady(...hosts.map(({gateway}) => gateway));
	await sleep(settleMs);
});

afterEach(async () => {
	await Promise.all(hosts.map(async ({gateway}) => gateway.stop()));
	for (const {toStore} of hosts) {
		toStore.stop();
	}

	engine.stop();
	store.stop();
});

function name(version: number): void {
	store.put('versions', 'm', {model: 'm', version});
	namedAt = performance.now();
}

async function sleepUntil(afterMs: number): Promise<void> {
	await sleep(Math.max(0, namedAt + afterMs - performance.now()));
}

async function ask({gateway}: Host): Promise<number> {
	const {status} = await sendRawRequest(gateway.callers, buildRawRequest({
		method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 1000,
		headers: 'Model: m\r\nToken-Count: 100,4\r\nPrompt-Prefix: aa:50,cc:50\r\n',
	}));
	return status;
}

/** Sends requests one after the other until a time after the naming; returns their statuses. */
async function askUntil(host: Host, untilMs: number): Promise<readonly number[]> {
	const statuses: number[] = [];
	while (performance.now() - namedAt < untilMs) {
		statuses.push(await ask(host));
		await sleep(requestIntervalMs);
	}

	return statuses;
}

async function restart(restarted: readonly Host[]): Promise<void> {
	await Promise.all(restarted.map(async ({gateway}) => gateway.stop()));
	await Promise.all(restarted.map(async host => host.start()));
}

/** What happens to the hosts; requests go to the first one afterwards. */
const faults: ReadonlyArray<readonly [string, () => Promise<void>]> = [
	['with no fault', async () => undefined],
	['at a host that has started again', async () => restart([hosts[0]!])],
	['at a host that has started again twice', async () => {
		await restart([hosts[0]!]);
		await restart([hosts[0]!]);
	}],
	['after all hosts have started again at once', async () => restart(hosts)],
	['after all hosts have started again one after the other', async () => {
		for (const host of hosts) {
			await restart([host]);
		}
	}],
];

/** A host that learned late that new weights had been named sent requests to engines with old ones for as long as if they had just been named. */
describe('no request begins on old weights later than the bound after newer ones were named', () => {
	test.each(faults)('%s', async (_name, strike) => {
		name(2);
		await sleepUntil(versionMs * 0.7);
		await strike();
		await askUntil(hosts[0]!, watchedMs);
		expect(engine.runs.filter(({at}) => at - namedAt > versionMs)).toEqual([]);
	});

	test.each(faults.slice(1))('%s, when a second version was named since: the first one\'s time holds', async (_name, strike) => {
		name(2);
		const firstAt = namedAt;
		await sleepUntil(versionMs * 0.5);
		name(3);
		await sleep(versionMs * 0.2);
		await strike();
		await askUntil(hosts[0]!, versionMs * 0.7);
		expect(engine.runs.filter(({at}) => at - firstAt > versionMs)).toEqual([]);
	});

	test('at a host that was cut off from the store as they were named, and has no other host to ask', async () => {
		const [host, ...others] = hosts;
		await host!.toStore.cut('silent');
		await Promise.all(others.map(async ({gateway}) => gateway.stop()));
		name(2);
		await sleepUntil(versionMs * 0.7);
		await host!.toStore.heal();
		await askUntil(host!, watchedMs);
		await Promise.all(others.map(async each => each.start()));
		expect(engine.runs.filter(({at}) => at - namedAt > versionMs)).toEqual([]);
	});
});

/** Refusing early would keep the bound too. */
describe('requests are served on old weights while these may be used', () => {
	test.each(faults.slice(0, 4))('%s', async (_name, strike) => {
		name(2);
		await sleepUntil(usableMs * 0.5);
		await strike();
		const statuses = await askUntil(hosts[0]!, usableMs);
		expect(statuses.length).toBeGreaterThan(0);
		expect(statuses.filter(status => status !== 200)).toEqual([]);
	});
});
