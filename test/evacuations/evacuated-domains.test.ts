// Guards against requests that reach upstreams of a failure domain out of service, and against a domain that gets no work after its return.
import {type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createLink} from '../support/create-link.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {
	createUpstreamServer, sendSignedResponse, type ReceivedRequest, type UpstreamServer,
} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

const kind = adapter.kinds.evacuations;
const domain = 'domain-b';
const requests = 20;
/** Time in which hosts learn of a change that no metric shows. */
const learnMs = 1500;
const targets = ['/read/x', '/book/x', '/ask/x'];

let store: ObjectStoreServer;
/** Upstreams of domain-a and domain-b. */
let near: UpstreamServer;
let far: UpstreamServer;
let gateways: TestGateway[];

/** Streams one event whole; a plain response is whole too. */
function respond(received: ReceivedRequest, socket: Socket): void {
	if (!received.target.startsWith('/ask/')) {
		sendSignedResponse(received, socket);
		return;
	}

	const event = 'id: 0\ndata: e\n\n';
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${received.headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`);
}

beforeEach(async () => {
	[store, near, far] = await Promise.all([createObjectStoreServer(), createUpstreamServer(), createUpstreamServer()]);
	gateways = [];
	near.answer = respond;
	far.answer = respond;
	store.put('config', 'main', platformObjects.configuration(1));
	store.put('servers', 'i-near', platformObjects.upstream(near.address, {born: 1}));
	store.put('servers', 'i-far', platformObjects.upstream(far.address, {born: 2, zone: domain}));
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	near.stop();
	far.stop();
});

async function start(hasEvacuations = true): Promise<TestGateway> {
	const gateway = await startTestGateway(store.address, {bounds: {retrySlack: 1000, ...(hasEvacuations && {evacuateMs: 5000})}});
	gateways.push(gateway);
	await waitUntilReady(gateway);
	return gateway;
}

async function readMetric({metrics}: TestGateway, name: string): Promise<number> {
	const response = await fetch(`http://${metrics}/metrics`);
	const line = (await response.text()).split('\n').find(text => text.startsWith(`${name} `));
	return Number(line?.split(' ')[1] ?? 0);
}

const waitForEvacuated = async (gateway: TestGateway, count: number): Promise<void> => waitUntil(`${count} domains out of service`, async () => await readMetric(gateway, 'hemlockpier_evacuated_domains') === count);

/** Sends requests of all kinds at once. */
const sendAll = async ({callers}: TestGateway): Promise<readonly RawResponse[]> => Promise.all(targets.flatMap(target =>
	Array.from({length: requests}, async () => sendRawRequest(callers, buildRawRequest({target, method: target === '/book/x' ? 'POST' : 'GET', deadlineMs: 5000})))));

const countCalls = ({receivedRequests}: UpstreamServer): number => receivedRequests.filter(({target}) => targets.includes(target)).length;

describe('a failure domain with an entry', () => {
	test('gets no request of any kind until the entry is removed, and gets them again each time that it is', async () => {
		const gateway = await start();
		await sendAll(gateway);
		expect(countCalls(far)).toBeGreaterThan(0);
		for (let round = 0; round < 2; round++) {
			store.put(kind, domain, {});
			await waitForEvacuated(gateway, 1);
			const before = countCalls(far);
			const responses = await sendAll(gateway);
			expect(responses.map(({status}) => status)).toEqual(responses.map(() => 200));
			expect(countCalls(far)).toBe(before);
			store.remove(kind, domain);
			await waitForEvacuated(gateway, 0);
			await sendAll(gateway);
			expect(countCalls(far)).toBeGreaterThan(before);
		}

		expect(await readMetric(gateway, 'hemlockpier_evacuation_requests_total{result="elsewhere"}')).toBe(2 * requests * targets.length);
	});

	test('gets no second send of a request that failed elsewhere', async () => {
		const gateway = await start();
		near.answer = (_received, socket) => {
			socket.destroy();
		};

		store.put(kind, domain, {});
		await waitForEvacuated(gateway, 1);
		const responses = await Promise.all(Array.from({length: requests}, async () => sendRawRequest(gateway.callers, buildRawRequest())));
		expect(responses.every(({status}) => status >= 500)).toBe(true);
		expect(countCalls(far)).toBe(0);
	});

	test('gets no rest of a stream that broke off elsewhere', async () => {
		const gateway = await start();
		store.put(kind, domain, {});
		await waitForEvacuated(gateway, 1);
		let hasBroken = false;
		near.answer = (received, socket) => {
			if (hasBroken) {
				respond(received, socket);
				return;
			}

			hasBroken = true;
			const event = 'id: 0\ndata: e\n\n';
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${received.headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`, () => {
				socket.destroy();
			});
		};

		const resumed = await sendRawRequest(gateway.callers, buildRawRequest({target: '/ask/x', deadlineMs: 4000}));
		expect([resumed.status, countCalls(near), countCalls(far)]).toEqual([200, 2, 0]);
	});

	test('keeps the responses that are under way', async () => {
		store.put('servers', 'i-near', platformObjects.upstream(near.address, {born: 1, state: 'draining'}));
		const gateway = await start();
		const release: Array<() => void> = [];
		const respondLater = (received: ReceivedRequest, socket: Socket): void => {
			if (received.target === '/health') {
				respond(received, socket);
				return;
			}

			release.push(() => {
				respond(received, socket);
			});
		};

		far.answer = respondLater;
		const response = sendRawRequest(gateway.callers, buildRawRequest({target: '/book/x', method: 'POST', deadlineMs: 20_000}));
		const stream = sendRawRequest(gateway.callers, buildRawRequest({target: '/ask/x', deadlineMs: 20_000}));
		await waitUntil('the requests to be under way', () => release.length === 2);
		store.put(kind, domain, {});
		await waitForEvacuated(gateway, 1);
		for (const each of release) {
			each();
		}

		expect([(await response).status, (await stream).status]).toEqual([200, 200]);
	});

	test('is known to a host that starts, before it sends anything', async () => {
		store.put(kind, domain, {});
		const gateway = await start();
		const responses = await sendAll(gateway);
		expect(responses.every(({status}) => status === 200)).toBe(true);
		expect(countCalls(far)).toBe(0);
	});

	test('is known to a host that starts while the store does not answer it, from its peers', async () => {
		const first = await start();
		store.put(kind, domain, {});
		await waitForEvacuated(first, 1);
		const refusing = await createObjectStoreServer();
		refusing.faults.isUnavailable = true;
		const second = await startTestGateway(refusing.address, {bounds: {evacuateMs: 5000}, seeds: [first.peers]});
		gateways.push(second);
		await waitUntilReady(second);
		await sendAll(second);
		refusing.stop();
		expect([countCalls(near) > 0, countCalls(far)]).toEqual([true, 0]);
	});

	test.each([
		['gets no response', 'isUnresponsive'],
		['is refused', 'isUnavailable'],
	] as const)('is known to a host whose calls of the store fail, from its peers, and so is its return: each call %s', async (_name, fault) => {
		const first = await start();
		const failing = await createObjectStoreServer();
		for (const [kindOfObject, objects] of store.copy().kinds) {
			for (const [name, {spec}] of objects) {
				failing.put(kindOfObject, name, spec);
			}
		}

		const second = await startTestGateway(failing.address, {bounds: {evacuateMs: 5000}, seeds: [first.peers]});
		gateways.push(second);
		await waitUntilReady(second);
		failing.faults[fault] = true;
		store.put(kind, domain, {});
		await waitForEvacuated(second, 1);
		const before = countCalls(far);
		const responses = await sendAll(second);
		expect([responses.every(({status}) => status === 200), countCalls(far)]).toEqual([true, before]);
		store.remove(kind, domain);
		await waitForEvacuated(second, 0);
		failing.stop();
	});

	test('stays out of service after the store came back from a copy without the entry, also at a host that starts then', async () => {
		const first = await start();
		const copy = store.copy();
		store.put(kind, domain, {});
		await waitForEvacuated(first, 1);
		store.restore(copy);
		const second = await startTestGateway(store.address, {bounds: {evacuateMs: 5000}, seeds: [first.peers]});
		gateways.push(second);
		await waitUntilReady(second);
		const before = countCalls(far);
		await Promise.all([sendAll(first), sendAll(second)]);
		expect([countCalls(near) > 0, countCalls(far)]).toEqual([true, before]);
		store.put(kind, domain, {});
		await sleep(learnMs);
		store.remove(kind, domain);
		await Promise.all([first, second].map(async gateway => waitForEvacuated(gateway, 0)));
	});

	test('still gets checks, so that a lost link is known to be back', async () => {
		const link = await createLink(far.address);
		store.put('servers', 'i-far', platformObjects.upstream(link.address, {born: 2, zone: domain}));
		const gateway = await start();
		await link.cut('refused');
		await sendAll(gateway);
		store.put(kind, domain, {});
		await waitForEvacuated(gateway, 1);
		const countChecks = (): number => far.receivedRequests.filter(({target}) => target === '/health').length;
		const before = countChecks();
		await link.heal();
		await waitUntil('a check', () => countChecks() > before);
		link.stop();
		expect(countCalls(far)).toBe(0);
	});
});

describe('a service whose upstreams are all out of service', () => {
	test('is refused at once as not run, with a time to come back, while the host stays ready', async () => {
		const gateway = await start();
		store.put(kind, 'domain-a', {});
		store.put(kind, domain, {});
		await waitForEvacuated(gateway, 2);
		const before = countCalls(near) + countCalls(far);
		const responses = await sendAll(gateway);
		for (const {status, headers, body} of responses) {
			expect(status).toBe(503);
			expect(Number(headers.get('retry-after'))).toBeGreaterThanOrEqual(2);
			expect(JSON.parse(body).error).toMatchObject({ran: 'no'});
		}

		expect(countCalls(near) + countCalls(far)).toBe(before);
		expect((await fetch(`http://${gateway.readiness}/v1/readiness`)).status).toBe(200);
		expect(await readMetric(gateway, 'hemlockpier_evacuation_requests_total{result="refused"}')).toBe(responses.length);
		store.remove(kind, 'domain-a');
		await waitForEvacuated(gateway, 1);
		expect((await sendAll(gateway)).every(({status}) => status === 200)).toBe(true);
	});
});

test('an entry changes nothing on a deployment without evacuations', async () => {
	store.put(kind, domain, {});
	store.put(kind, 'domain-a', {});
	const gateway = await start(false);
	await sendAll(gateway);
	expect([countCalls(near) > 0, countCalls(far) > 0]).toEqual([true, true]);
});
