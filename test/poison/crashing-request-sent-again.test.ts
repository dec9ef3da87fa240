// Guards against docs/incidents/crashing-request-sent-again.md.
import {type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {
	createUpstreamServer, sendSignedResponse, type ReceivedRequest, type UpstreamServer,
} from '../support/create-upstream-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Longer than a check for a crash and the next report to the other hosts. */
const reportWaitMs = 600;
/** Longer than hosts repeat a crash in their reports. */
const reportRetentionMs = 3500;
const upstreamCount = 4;
/** A request is refused after its second crash. */
const maxCrashes = 2;

let store: ObjectStoreServer;
let upstreams: UpstreamServer[];
let gateways: TestGateway[];
let crashed: string[];

/** Stops the upstream when it receives a request for `/poison`, after `answer` has written the beginning of a response. */
function crashOnPoison(upstream: UpstreamServer, id: string, answer: (received: ReceivedRequest, socket: Socket) => void = () => undefined): void {
	upstream.answer = (received, socket) => {
		if (!received.target.endsWith('/poison')) {
			sendSignedResponse(received, socket);
			return;
		}

		crashed.push(id);
		answer(received, socket);
		setImmediate(upstream.stop);
	};
}

/** Gives the upstream's address to another one `removeAfterMs` after each request, which gets no response. */
function replaceOnRequest(upstream: UpstreamServer, firstId: string, removeAfterMs: number, onReceived: (socket: Socket) => void = () => undefined): void {
	let id = firstId;
	upstream.answer = (received, socket) => {
		if (!received.target.endsWith('/poison')) {
			sendSignedResponse(received, socket);
			return;
		}

		crashed.push(id);
		setTimeout(() => {
			store.remove('servers', id);
			id = `${firstId}-start-${crashed.length}`;
			store.put('servers', id, platformObjects.upstream(upstream.address));
		}, removeAfterMs);
		onReceived(socket);
	};
}

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all(Array.from({length: upstreamCount}, async () => createUpstreamServer()));
	gateways = [];
	crashed = [];
	store.put('config', 'main', platformObjects.configuration(1));
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address));
		crashOnPoison(upstream, `i-${index}`);
	}
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

async function start(overrides: Record<string, unknown> = {}): Promise<TestGateway> {
	const gateway = await startTestGateway(store.address, {bounds: {retrySlack: 1000}, ...overrides});
	gateways.push(gateway);
	await waitUntilReady(gateway);
	return gateway;
}

async function stopAll(): Promise<void> {
	await Promise.all(gateways.splice(0).map(async gateway => gateway.stop()));
}

async function sendPoison(gateway: TestGateway, options: Parameters<typeof buildRawRequest>[0] = {}): Promise<RawResponse> {
	const answer = await sendRawRequest(gateway.callers, buildRawRequest({
		method: 'POST', target: '/book/poison', body: 'p', ...options,
	}));
	await sleep(reportWaitMs);
	return answer;
}

const headOf = ({headers}: ReceivedRequest, framing: string): string =>
	`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\n${framing}\r\n\r\n`;
const event = 'id: 0\ndata: first\n\n';
const eventChunk = `${event.length.toString(16)}\r\n${event}\r\n`;

describe('a request that crashes the upstreams that run it', () => {
	test.each([
		['a stream, after its first event', {target: '/ask/poison'}, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked', eventChunk],
		['a stream, after its head', {target: '/ask/poison'}, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked', ''],
		['an idempotent request, within the body', {method: 'GET', target: '/read/poison', body: ''}, 'Content-Length: 10', 'half '],
		['a request that runs once, within the body', {}, 'Content-Length: 10', 'half '],
	])('once their answer has begun is refused after the second crash: %s', async (_, options, framing, beginning) => {
		for (const [index, upstream] of upstreams.entries()) {
			crashOnPoison(upstream, `i-${index}`, (received, socket) => socket.write(headOf(received, framing) + beginning));
		}

		const gateway = await start();
		for (let attempt = 0; attempt < upstreamCount; attempt++) {
			await sendPoison(gateway, options);
		}

		expect(crashed.length).toBe(maxCrashes);
		const last = await sendPoison(gateway, options);
		expect([last.status, last.body.includes('crashed')]).toEqual([503, true]);
	});

	test.each([
		['by a host that starts after it was reported', async () => {
			await sleep(reportRetentionMs);
		}],
		['after all hosts were restarted', stopAll],
		['after all hosts were restarted, if the store was unavailable when it crashed them', async () => {
			store.faults.isUnavailable = false;
			await sleep(reportRetentionMs);
			await stopAll();
		}, () => {
			store.faults.isUnavailable = true;
		}],
	])('is refused %s', async (_, disrupt, prepare = (): void => undefined) => {
		const first = await start();
		prepare();
		await sendPoison(first);
		await sendPoison(first);
		await disrupt();
		const other = await start();
		await sleep(reportWaitMs);
		const last = await sendPoison(other);
		expect([crashed.length, last.status, last.body.includes('crashed')]).toEqual([maxCrashes, 503, true]);
	});

	test('is refused by a host that was restarted while the store is unavailable since before the crashes', async () => {
		const [callers, readiness, peers, reports] = await findTestPorts(4);
		const addresses = {
			name: 'restarted', callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`,
		};
		const staying = await start();
		const restarted = await start(addresses);
		await sleep(reportWaitMs);
		store.faults.isUnavailable = true;
		await sendPoison(staying);
		await sendPoison(staying);
		await restarted.stop();
		gateways.splice(gateways.indexOf(restarted), 1);
		await sleep(reportRetentionMs);
		const last = await sendPoison(await start({...addresses, seeds: [staying.peers]}));
		expect([crashed.length, last.status, last.body.includes('crashed')]).toEqual([maxCrashes, 503, true]);
	});

	test('is refused after the second crash of one upstream that starts again under its id', async () => {
		for (const index of [1, 2, 3]) {
			store.remove('servers', `i-${index}`);
		}

		const gateway = await start();
		for (const [index, upstream] of upstreams.entries()) {
			store.put('servers', 'i-0', platformObjects.upstream(upstream.address, {born: 1_700_000_000_000 + index}));
			await sleep(reportWaitMs);
			await sendPoison(gateway);
		}

		expect(crashed.length).toBe(maxCrashes);
	});

	test.each([
		['before', 0, reportWaitMs],
		['after', reportWaitMs, 0],
	])('is refused after the second crash if other upstreams have the addresses and the crashed ones are deregistered %s the host sees it', async (_, removeAfterMs, closeAfterMs) => {
		for (const [index, upstream] of upstreams.entries()) {
			replaceOnRequest(upstream, `i-${index}`, removeAfterMs, socket => setTimeout(() => socket.resetAndDestroy(), closeAfterMs));
		}

		const gateway = await start();
		for (let attempt = 0; attempt < upstreamCount; attempt++) {
			await sendPoison(gateway);
			await sleep(reportWaitMs);
		}

		expect(crashed.length).toBe(maxCrashes);
	});

	test('is refused also when another route serves its path', async () => {
		const gateway = await start();
		await sendPoison(gateway);
		await sendPoison(gateway);
		const {routes, ...rest} = platformObjects.configuration(2);
		store.put('config', 'main', {...rest, routes: routes.map(route => ({...route, name: `${route.name}-2`}))});
		await sleep(reportWaitMs);
		const last = await sendPoison(gateway);
		expect([crashed.length, last.status, last.body.includes('crashed')]).toEqual([maxCrashes, 503, true]);
	});

	test.each([
		['its upstreams end without a sign until its time is over', () => undefined],
		['its callers leave before its upstreams end', (socket: Socket) => setTimeout(() => socket.destroy(), reportWaitMs / 2)],
	])('is refused after the second crash if %s', async (_, onSent) => {
		for (const [index, upstream] of upstreams.entries()) {
			replaceOnRequest(upstream, `i-${index}`, reportWaitMs);
		}

		const gateway = await start();
		for (let attempt = 0; attempt < upstreamCount; attempt++) {
			await sendRawRequest(gateway.callers, buildRawRequest({
				method: 'POST', target: '/ask/poison', body: 'p', deadlineMs: 900,
			}), onSent);
			await sleep(3 * reportWaitMs);
		}

		expect(crashed.length).toBe(maxCrashes);
	});
});
