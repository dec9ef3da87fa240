import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {getMaxConcurrentLoads} from '../../src/decide/orders/get-max-concurrent-loads.js';
import {sleep} from '../../src/util/sleep.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

/** A stand-in engine that accepts weight update orders. */
type Engine = {
	readonly address: string;
	readonly orders: Array<{readonly version: number; readonly holder: string; readonly fencing_token: number; readonly expect: number}>;
	version: number;
	/** Time from an order to the new weights, in milliseconds. */
	loadMs: number;
	/** Whether orders are carried out but get no response. */
	omitsResponse: boolean;
	/** Whether nothing gets a response, and nothing is carried out. */
	isSilent: boolean;
	readonly stop: () => void;
};

const weightLoadMs = 150;
/** Time in which calls to each of the engines fail several times. */
const silenceMs = 14_000;

async function createEngine(): Promise<Engine> {
	let highestToken = 0;
	let isBusy = false;
	const server: Server = createServer((req, res) => {
		const answer = (status: number, body: unknown = {}): void => {
			res.writeHead(status, {'content-type': 'application/json'});
			res.end(JSON.stringify(body));
		};

		if (engine.isSilent) {
			return;
		}

		if (req.url === '/v1/report') {
			answer(200, {models: [{name: 'm', version: engine.version}], busy: isBusy, seq: engine.orders.length});
			return;
		}

		let text = '';
		req.on('data', chunk => {
			text += String(chunk);
		});
		req.on('end', () => {
			const order = JSON.parse(text) as Engine['orders'][number];
			if (order.fencing_token < highestToken) {
				answer(412);
			} else if (isBusy || order.expect !== engine.orders.length) {
				answer(409);
			} else {
				highestToken = order.fencing_token;
				isBusy = true;
				engine.orders.push(order);
				setTimeout(() => {
					isBusy = false;
					engine.version = order.version;
				}, engine.loadMs);
				if (!engine.omitsResponse) {
					answer(202);
				}
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const engine: Engine = {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		orders: [],
		version: 1,
		loadMs: weightLoadMs,
		omitsResponse: false,
		isSilent: false,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
	return engine;
}

let store: ObjectStoreServer;
let engines: readonly Engine[];
let gateways: TestGateway[];

beforeEach(async () => {
	store = await createObjectStoreServer();
	engines = await Promise.all(Array.from({length: 5}, async () => createEngine()));
	gateways = [];
	store.put('config', 'main', platformObjects.configuration(1));
	for (const [index, engine] of engines.entries()) {
		store.put('servers', `e-${index}`, platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
	}
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const engine of engines) {
		engine.stop();
	}
});

async function start(count: number, leaseMs = 1000): Promise<void> {
	gateways = await Promise.all(Array.from({length: count}, async () => startTestGateway(store.address, {bounds: {leaseMs, versionMs: 120_000}})));
	await waitUntilReady(...gateways);
}

const allOrders = () => engines.flatMap(engine => engine.orders);

describe('a roll-out of weights', () => {
	test('is ordered by one host, once at each engine', async () => {
		await start(3);
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('all engines to have version 2', () => engines.every(engine => engine.version === 2));
		expect(engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1, 1]);
		expect(new Set(allOrders().map(order => order.holder)).size).toBe(1);
	});

	test('continues with the newest version when it changes midway, without ordering an older one at any engine', async () => {
		await start(2);
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the first engine to have version 2', () => engines.some(engine => engine.version === 2));
		store.put('versions', 'm', {model: 'm', version: 3});
		await waitUntil('all engines to have version 3', () => engines.every(engine => engine.version === 3));
		for (const engine of engines) {
			const versions = engine.orders.map(order => order.version);
			expect(versions).toEqual(versions.toSorted((a, b) => a - b));
		}
	});

	test('completes when an order is carried out but gets no response', async () => {
		engines[0]!.omitsResponse = true;
		await start(2);
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('all engines to have version 2', () => engines.every(engine => engine.version === 2));
		expect(engines.map(engine => engine.orders.length)).toEqual([1, 1, 1, 1, 1]);
	});

	test.each([
		['', 1, 8],
		[', above those that the store may have lost, when it was written in an earlier epoch', 0, 1008],
	])('is taken over with a higher fencing token when the lease holder is gone%s', async (_name, epoch, token) => {
		await start(2, 800);
		store.put('hemlockpier-leases', 'rollout', {
			holder: 'host-gone', run: 'x', token: 7, isReleased: false, renewals: 1, epoch,
		});
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('all engines to have version 2', () => engines.every(engine => engine.version === 2));
		expect(new Set(allOrders().map(order => order.fencing_token))).toEqual(new Set([token]));
	});

	// Two engines that did not respond took up both places, and no other engine got the weights.
	test.each([
		['refuse connections', (engine: Engine) => {
			engine.stop();
		}],
		['are silent', (engine: Engine) => {
			engine.isSilent = true;
		}],
	])('reaches the other engines while two that are listed %s', async (_name, fail) => {
		const [first, second, ...others] = engines;
		fail(first!);
		fail(second!);
		await start(2);
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('the other engines to have version 2', () => others.every(engine => engine.version === 2));
	});

	// Each engine that did not respond made room for another order, so that all were ordered as they came back.
	test('does not load all engines at once that come back together', async () => {
		for (const engine of engines) {
			engine.isSilent = true;
			engine.loadMs = 1500;
		}

		await start(1);
		store.put('versions', 'm', {model: 'm', version: 2});
		await sleep(silenceMs);
		for (const engine of engines) {
			engine.isSilent = false;
		}

		let mostLoading = 0;
		await waitUntil('some engines to have version 2', () => {
			mostLoading = Math.max(mostLoading, engines.filter(engine => engine.orders.length > 0 && engine.version < 2).length);
			return engines.filter(engine => engine.version === 2).length >= 3;
		});
		expect(mostLoading).toBeLessThanOrEqual(getMaxConcurrentLoads(engines.length));
	}, 60_000);

	test('completes when the response to a write of the lease is lost', async () => {
		await start(1);
		store.faults.dropsNextWriteResponse = true;
		store.put('versions', 'm', {model: 'm', version: 2});
		await waitUntil('all engines to have version 2', () => engines.every(engine => engine.version === 2));
		expect(new Set(allOrders().map(order => order.fencing_token)).size).toBe(1);
	});
});
