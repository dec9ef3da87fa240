import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {parseRawResponse, sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type RequestHandler, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

const deadlineMs = 15_000;
/** The host accepts requests for 2.5 s of it. */
const graceS = 4;
/** Statuses that promise that the request has not run and never will. */
const promises = [408, 421, 429, 503];

const silent: RequestHandler = () => undefined;
/** Says that the request was not run, after the stop has begun. */
const rejectLater: RequestHandler = (received, socket) => {
	setTimeout(() => {
		socket.write(`HTTP/1.1 503 Busy\r\nRequest-Id: ${received.headers.get('request-id')}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
	}, 700);
};

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let gateway: TestGateway;
let isDrained = false;

beforeEach(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer()]);
	const slow = {timeout_ms: deadlineMs, goal_ms: deadlineMs};
	store.put('config', 'main', platformObjects.configuration(1, {
		limits: {
			max_header_bytes: 8192, max_body_bytes: 100_000, header_timeout_ms: 1000, idle_timeout_ms: 20_000,
		},
		routes: [
			platformObjects.route(slow),
			platformObjects.route({
				...slow, name: 'r-once', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 2,
			}),
			platformObjects.route({
				...slow, name: 'r-stream', path_prefix: '/ask/', kind: 'streaming', resumable: false,
			}),
		],
	}));
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address));
	}

	isDrained = false;
	gateway = await startTestGateway(store.address, {bounds: {graceS, retrySlack: 1000}});
	await waitUntilReady(gateway);
});

afterEach(async () => {
	if (!isDrained) {
		await gateway.stop();
	}

	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

async function drain(): Promise<void> {
	isDrained = true;
	await gateway.drain();
}

const countReceived = (): number => upstreams.reduce((sum, {receivedRequests}) => sum + receivedRequests.filter(({target}) => target !== '/health').length, 0);

function setAnswer(answer: RequestHandler): void {
	for (const upstream of upstreams) {
		upstream.answer = answer;
	}
}

/** Sends a request whose body is written by hand. */
function openRequest(target: string): {readonly socket: Socket; readonly response: Promise<RawResponse>} {
	const [host, port] = gateway.callers.split(':');
	const socket = connect({host: host!, port: Number(port)});
	const response = new Promise<RawResponse>(resolve => {
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(parseRawResponse(text));
		});
	});
	socket.write(`POST ${target} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: late-body\r\nDeadline-Ms: ${deadlineMs}\r\nX-Api-Key: key-1\r\nContent-Length: 4\r\n\r\n`);
	return {socket, response};
}

const send = async (target: string): Promise<RawResponse> => sendRawRequest(gateway.callers, buildRawRequest({
	method: 'POST', target, body: 'body', deadlineMs,
}));

/** Requests that were under way at the end of the grace were cut without an answer, among them some that may not be repeated. */
describe('at a planned stop', () => {
	test.each([['/book/x'], ['/read/x'], ['/ask/x']])('a request that was under way before and does not end gets a whole answer that promises nothing: %s', async target => {
		setAnswer(silent);
		const response = send(target);
		await waitUntil('the request to arrive', () => countReceived() > 0);
		const [answer] = await Promise.all([response, drain()]);
		expect(answer.isWhole).toBe(true);
		expect(answer.status).toBeGreaterThanOrEqual(500);
		expect(promises).not.toContain(answer.status);
	});

	test('one that is taken after the signal and may be repeated gets a whole answer', async () => {
		setAnswer(silent);
		const drained = drain();
		const [answer] = await Promise.all([send('/read/x'), drained]);
		expect([answer.isWhole, answer.status >= 500]).toEqual([true, true]);
	});

	test.each([['/book/x'], ['/ask/x']])('one that comes after the signal, may not be repeated and might not end is refused at once as not run: %s', async target => {
		setAnswer(silent);
		const drained = drain();
		const answer = await send(target);
		expect([answer.isWhole, answer.status, countReceived()]).toEqual([true, 503, 0]);
		await drained;
	});

	test('one whose body ends after the signal is refused as not run', async () => {
		const {socket, response} = openRequest('/book/x');
		await waitUntil('the head to be read', async () => {
			const [host, port] = gateway.readiness.split(':');
			const answer = await fetch(`http://${host}:${port}/v1/readiness`);
			return answer.ok;
		});
		const drained = drain();
		socket.write('body');
		const answer = await response;
		expect([answer.isWhole, answer.status, countReceived()]).toEqual([true, 503, 0]);
		await drained;
	});

	test('one whose body does not end is refused as not run', async () => {
		const {response} = openRequest('/read/x');
		const [answer] = await Promise.all([response, drain()]);
		expect([answer.isWhole, answer.status, countReceived()]).toEqual([true, 503, 0]);
	});

	test('one that an upstream has not run after the signal is not sent to another if it may not be repeated', async () => {
		setAnswer(rejectLater);
		const response = send('/book/x');
		await waitUntil('the request to arrive', () => countReceived() > 0);
		const [answer] = await Promise.all([response, drain()]);
		expect([answer.isWhole, answer.status, countReceived()]).toEqual([true, 503, 1]);
	});

	test('one that may be repeated and waits for another attempt when the stop is near is answered', async () => {
		setAnswer((received, socket) => {
			if (received.target !== '/health') {
				setTimeout(() => {
					socket.destroy();
				}, 1000);
			}
		});
		const response = send('/read/x');
		await waitUntil('the request to arrive', () => countReceived() > 0);
		const [answer] = await Promise.all([response, drain()]);
		expect([answer.isWhole, answer.status >= 500]).toEqual([true, true]);
	});
});
