import {createServer, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {sendSignedResponse, createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const reportWaitMs = 1000;

let store: ObjectStoreServer;
let upstreams: UpstreamServer[];
let gateways: TestGateway[];

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer(), createUpstreamServer(), createUpstreamServer()]);
	gateways = [];
	store.put('config', 'main', platformObjects.configuration(1));
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address));
	}
});

afterEach(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

async function start(count: number): Promise<void> {
	gateways = await Promise.all(Array.from({length: count}, async () => startTestGateway(store.address, {bounds: {retrySlack: 1000}})));
	await waitUntilReady(...gateways);
}

const sendRead = async (gateway: TestGateway, options: Parameters<typeof buildRawRequest>[0] = {}) => sendRawRequest(gateway.callers, buildRawRequest(options));

describe('an upstream', () => {
	test('that does not respond: its idempotent requests are sent to another upstream', async () => {
		await start(1);
		const [unresponsive] = upstreams;
		unresponsive!.answer = () => undefined;
		const answers = await Promise.all(Array.from({length: 12}, async () => sendRead(gateways[0]!)));
		expect(answers.map(answer => answer.status)).toEqual(Array.from({length: 12}, () => 200));
	});

	test('whose address belongs to another instance now: the request is sent to another upstream', async () => {
		await start(1);
		for (const upstream of upstreams.slice(1)) {
			upstream.answer = (_, socket) => {
				socket.write('HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n');
			};
		}

		const got = await sendRead(gateways[0]!, {method: 'POST', target: '/book/x', body: 'b'});
		expect(got.status).toBe(200);
		expect(upstreams[0]!.receivedRequests.map(({headers}) => headers.get('expect-instance'))).toEqual(['i-0']);
	});

	test('that refuses connections: a request that must not be repeated is sent to another upstream', async () => {
		const closed = createServer();
		await new Promise<void>(resolve => {
			closed.listen(0, '127.0.0.1', resolve);
		});
		const {port} = closed.address() as {port: number};
		closed.close();
		for (const index of [0, 1, 2]) {
			store.put('servers', `i-${index}`, platformObjects.upstream(`127.0.0.1:${port}`));
		}

		await start(1);
		const got = await sendRead(gateways[0]!, {method: 'POST', target: '/book/x', body: 'b'});
		const received = upstreams[3]!.receivedRequests.filter(({target}) => target !== '/health');
		expect([got.status, received.length]).toEqual([200, 1]);
	});
});

describe('a request that crashes the upstreams that run it', () => {
	test('is refused by all hosts after the second crash, while other requests are served', async () => {
		await start(2);
		const crashed: UpstreamServer[] = [];
		for (const upstream of upstreams) {
			upstream.answer = (arrived, socket: Socket) => {
				if (!arrived.target.endsWith('/poison')) {
					sendSignedResponse(arrived, socket);
					return;
				}

				crashed.push(upstream);
				upstream.stop();
			};
		}

		const poison = {method: 'POST', target: '/book/poison', body: 'p'};
		for (const gateway of gateways) {
			await sendRead(gateway, poison);
			// The host checks for a crash and reports it to the others with its next report.
			await sleep(reportWaitMs);
		}

		const answers = await Promise.all(gateways.map(async gateway => sendRead(gateway, poison)));
		expect(answers.map(answer => [answer.status, answer.body.includes('crashed')])).toEqual([[503, true], [503, true]]);
		expect(crashed.length).toBe(2);
		const got = await sendRead(gateways[1]!, {method: 'POST', target: '/book/other', body: 'p'});
		expect(got.status).toBe(200);
	});
});
