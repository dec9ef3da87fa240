// Guards against refused bodies that keep their connection, lose the answer, or let what follows them run; and against bodies that hold memory with a byte now and then.
import {connect} from 'node:net';
import {
	afterAll, beforeAll, beforeEach, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {parseRawResponse, sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const maxBodyBytes = 1_000_000;
const rest = Buffer.alloc(64 * 1024, 'x');

let store: ObjectStoreServer;
let upstream: UpstreamServer;
let gateway: TestGateway;

beforeAll(async () => {
	store = await createObjectStoreServer();
	upstream = await createUpstreamServer();
	store.put('config', 'main', platformObjects.configuration(1, {
		routes: [platformObjects.route({timeout_ms: 20_000, goal_ms: 20_000})],
		limits: {
			max_header_bytes: 8192, max_body_bytes: maxBodyBytes, header_timeout_ms: 1000, idle_timeout_ms: 500,
		},
	}));
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address));
	gateway = await startTestGateway(store.address, {limits: {memoryMb: 160, maxFds: 4100}});
	await waitUntilReady(gateway);
});

afterAll(async () => {
	await gateway.stop();
	store.stop();
	upstream.stop();
});

beforeEach(() => {
	upstream.receivedRequests.length = 0;
});

const post = (id: string, headers: string): string => buildRawRequest({
	method: 'POST', id, headers, deadlineMs: 20_000, keepAlive: true,
});

/** Sends `first`, then `piece` after each pause until the connection ends, and returns what was received. */
async function sendOn(first: string, piece: Buffer | string, pauseMs: number): Promise<RawResponse> {
	const [host, port] = gateway.callers.split(':');
	const chunks: Buffer[] = [];
	const socket = connect({host: host!, port: Number(port), allowHalfOpen: true});
	let hasEnded = false;
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		hasEnded = true;
	});
	socket.write(first);
	while (!hasEnded) {
		if (!socket.writableNeedDrain && socket.writable) {
			socket.write(piece);
		}

		await sleep(pauseMs);
	}

	return parseRawResponse(Buffer.concat(chunks).toString('latin1'));
}

test.each([
	['announced over the limit', 'Content-Length: 64000000\r\n', rest, 1, 413],
	['over the limit without announcement', 'Transfer-Encoding: chunked\r\n', Buffer.concat([Buffer.from('10000\r\n'), rest, Buffer.from('\r\n')]), 1, 413],
	['of an unknown caller', 'Content-Length: 900000\r\nX-Api-Key: unknown\r\n', rest, 1, 401],
	['that moves by a byte now and then', 'Content-Length: 900000\r\n', 'x', 100, 408],
	['in chunks that move by a byte now and then', 'Transfer-Encoding: chunked\r\n', '1\r\nx\r\n', 100, 408],
])('a body %s is answered, and its connection closes though its caller sends on', async (_name, headers, piece, pauseMs, status) => {
	const first = headers.includes('X-Api-Key') ? post('refused', headers).replace('X-Api-Key: key-1\r\n', '') : post('refused', headers);
	const response = await sendOn(first, piece, pauseMs);
	expect([response.status, response.isWhole, response.headers.get('connection')]).toEqual([status, true, 'close']);
	expect(upstream.receivedRequests).toEqual([]);
});

test('a request that follows a refused body on its connection is not run', async () => {
	const following = buildRawRequest({id: 'following'});
	const response = await sendRawRequest(gateway.callers, `${post('refused', 'Content-Length: 1000\r\nBad Name: x\r\n')}${'x'.repeat(1000)}${following}`);
	expect(response.status).toBe(400);
	await sleep(300);
	expect(upstream.receivedRequests).toEqual([]);
});

test('a request that follows a body of an unknown caller, which arrives later, is not run', async () => {
	const following = buildRawRequest({id: 'following'});
	const response = await sendRawRequest(gateway.callers, post('refused', 'Content-Length: 1000\r\n').replace('key-1', 'unknown'), socket => {
		setTimeout(() => {
			socket.write(`${'x'.repeat(1000)}${following}`);
		}, 50);
	});
	expect(response.status).toBe(401);
	await sleep(300);
	expect(upstream.receivedRequests).toEqual([]);
});

test('refusals at limits and the most bytes held are shown by the metrics', async () => {
	await sendRawRequest(gateway.callers, buildRawRequest({method: 'POST', body: 'x'.repeat(500_000), deadlineMs: 20_000}));
	await waitUntil('the peak to be sampled', async () => {
		const response = await fetch(`http://${gateway.metrics}/metrics`);
		const text = await response.text();
		const peak = Number(/^hemlockpier_peak_held_bytes (\d+)/mv.exec(text)?.[1]);
		return peak >= 500_000 && text.includes('hemlockpier_caller_limits_total{reason="body-too-large"}') && text.includes('hemlockpier_caller_limits_total{reason="body-too-slow"}');
	});
});
