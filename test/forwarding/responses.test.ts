import process from 'node:process';
import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sendWhileBlocked} from '../support/send-while-blocked.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {type TestGateway} from '../support/start-test-gateway.js';
import {
	sendSignedResponse, type RequestHandler, type ReceivedRequest, type UpstreamServer,
} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';
import {waitUntil} from '../support/wait-until.js';

const blockMs = 300;

let system: GatewayWithUpstreams;
let gateway: TestGateway;
let upstreams: readonly UpstreamServer[];

beforeAll(async () => {
	system = await startGatewayWithUpstreams(platformObjects.configuration(1));
	({gateway, upstreams} = system);
});

afterAll(async () => {
	await system.stop();
});

function setResponses(answer: RequestHandler): ReceivedRequest[] {
	const receivedRequests: ReceivedRequest[] = [];
	for (const upstream of upstreams) {
		upstream.answer = (request, socket) => {
			receivedRequests.push(request);
			answer(request, socket);
		};
	}

	return receivedRequests;
}

const createSignedHead = ({headers}: ReceivedRequest): string => `Request-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\n`;

/** Upstream responses, with the caller's status and the number of sends for an idempotent (`read`) and a non-idempotent (`book`) request. */
const cases: ReadonlyArray<{
	readonly name: string;
	readonly answer: RequestHandler;
	readonly read: readonly [status: number, sends: number];
	readonly book: readonly [status: number, sends: number];
}> = [
	{
		name: 'a complete response', answer: sendSignedResponse, read: [200, 1], book: [200, 1],
	},
	{
		name: 'a response without a signature',
		answer({headers}, socket) {
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nContent-Length: 2\r\n\r\nok`);
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'the response to another request',
		answer(_, socket) {
			socket.write('HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok');
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'a body with a content encoding',
		answer(arrived, socket) {
			sendSignedResponse(arrived, socket, 'zip', '200 OK', 'Content-Encoding: gzip\r\n');
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'bytes that are not an HTTP response',
		answer(_, socket) {
			socket.write('certainly not\r\n\r\n');
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'a connection closed without a response',
		answer(_, socket) {
			socket.destroy();
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'a 500 response of the upstream',
		answer(arrived, socket) {
			sendSignedResponse(arrived, socket, 'broken', '500 Internal Server Error');
		},
		read: [500, 2], book: [500, 1],
	},
	{
		name: 'a 503 response that does not state that the request was not run',
		answer(arrived, socket) {
			sendSignedResponse(arrived, socket, 'busy', '503 Service Unavailable');
		},
		read: [502, 2], book: [502, 1],
	},
	{
		name: 'a 503 response that states that the request was not run',
		answer(_, socket) {
			socket.write('HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		},
		read: [503, 5], book: [503, 5],
	},
	{
		name: 'a 404 response of the upstream',
		answer(arrived, socket) {
			sendSignedResponse(arrived, socket, 'no', '404 Not Found');
		},
		read: [404, 1], book: [404, 1],
	},
];

describe('the response to a caller', () => {
	test.each(cases)('of an idempotent request is correct after $name', async ({answer, read: [status, sends]}) => {
		const arrived = setResponses(answer);
		const response = await sendRawRequest(gateway.callers, buildRawRequest());
		expect([response.status, arrived.length, response.isWhole]).toEqual([status, sends, true]);
	});

	test.each(cases)('of a non-idempotent request is correct after $name', async ({answer, book: [status, sends]}) => {
		const arrived = setResponses(answer);
		const response = await sendRawRequest(gateway.callers, buildRawRequest({method: 'POST', target: '/book/x', body: 'one desk'}));
		expect([response.status, arrived.length, response.isWhole]).toEqual([status, sends, true]);
	});

	test('has no signature when it does not come from the upstream', async () => {
		setResponses((arrived, socket) => {
			sendSignedResponse(arrived, socket, 'busy', '503 Service Unavailable');
		});
		const response = await sendRawRequest(gateway.callers, buildRawRequest({method: 'POST', target: '/book/x', body: 'b'}));
		expect(response.headers.has('response-seal')).toBe(false);
		expect(JSON.parse(response.body)).toMatchObject({error: {kind: 'upstream-failed', ran: 'unknown'}});
	});

	test.each([
		['a body shorter than its length', (arrived: ReceivedRequest, socket: Socket) => {
			socket.end(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}Content-Length: 100\r\n\r\nhalf`);
		}],
		['a chunked body that ends early', (arrived: ReceivedRequest, socket: Socket) => {
			socket.end(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
		}],
		['a chunked body that ends with a reset, on a connection with `Connection: close`', (arrived: ReceivedRequest, socket: Socket) => {
			socket.write(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		}],
		['a body of unknown length whose connection is reset along with its last bytes', (arrived: ReceivedRequest, socket: Socket) => {
			socket.write(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}\r\nhalf`);
			socket.resetAndDestroy();
		}],
		['a body of unknown length whose connection is reset', (arrived: ReceivedRequest, socket: Socket) => {
			socket.write(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}\r\nhalf`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		}],
	])('does not appear complete after %s', async (_, answer) => {
		setResponses(answer);
		const response = await sendRawRequest(gateway.callers, buildRawRequest());
		expect([response.status, response.isWhole]).toEqual([200, false]);
	});

	test.each([
		['the status has none', 'POST', '204 No Content', 204],
		['the request is for its head', 'HEAD', '200 OK', 200],
	])('is complete without a body and without a length where %s', async (_, method, statusLine, status) => {
		const arrived = setResponses((request, socket) => {
			socket.write(`HTTP/1.1 ${statusLine}\r\n${createSignedHead(request)}\r\n`);
		});
		const response = await sendRawRequest(gateway.callers, buildRawRequest({method}));
		expect([response.status, response.body, response.isReset, arrived.length]).toEqual([status, '', false, 1]);
	});

	test('is complete when its body has no length and the connection ends regularly', async () => {
		setResponses((arrived, socket) => {
			socket.end(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}\r\nall of it`);
		});
		const response = await sendRawRequest(gateway.callers, buildRawRequest());
		expect([response.status, response.body, response.isWhole]).toEqual([200, 'all of it', true]);
	});

	test('is never an unsolicited response that arrived earlier on the same connection', async () => {
		setResponses((arrived, socket) => {
			sendSignedResponse(arrived, socket);
			socket.write('HTTP/1.1 200 OK\r\nRequest-Id: ghost\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nghost');
		});
		for (let count = 0; count < 5; count++) {
			const response = await sendRawRequest(gateway.callers, buildRawRequest());
			expect(response.body).not.toContain('ghost');
			expect(response.status).toBe(200);
		}
	});
});

describe('a request at an upstream', () => {
	test('has the caller\'s bytes, and internal headers only from the gateway', async () => {
		const arrived = setResponses(sendSignedResponse);
		const forged = 'Tenant: someone\r\nExpect-Instance: i-9\r\nCache-Salt: mine\r\nKv-Fetch: 1.2.3.4:5\r\nRequest-Priority: 0\r\nX-Other: kept\r\n';
		await sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/book/a?b=%20c', id: 'exact', body: 'b\u0000dy', headers: forged,
		}));
		const [{method, target, headers, body}] = arrived as [ReceivedRequest];
		expect([method, target, body.toString()]).toEqual(['POST', '/book/a?b=%20c', 'b\u0000dy']);
		const watched = new Set(['tenant', 'expect-instance', 'cache-salt', 'kv-fetch', 'request-priority', 'x-api-key', 'x-other', 'request-id']);
		expect([...headers.entries()].filter(([name]) => watched.has(name)).toSorted(([a], [b]) => a.localeCompare(b)))
			.toEqual([['expect-instance', expect.stringMatching(/^i-[01]$/v)], ['request-id', 'exact'], ['tenant', 'acme'], ['x-other', 'kept']]);
		expect(Number(headers.get('deadline-ms'))).toBeLessThanOrEqual(1200);
	});

	test('has a content length if it arrived chunked', async () => {
		const arrived = setResponses(sendSignedResponse);
		await sendRawRequest(gateway.callers, buildRawRequest({method: 'POST', target: '/book/x', headers: 'Transfer-Encoding: chunked\r\n'}) + '3\r\none\r\n4\r\n two\r\n0\r\n\r\n');
		expect(arrived.map(({body, headers}) => [body.toString(), headers.get('content-length'), headers.has('transfer-encoding')])).toEqual([['one two', '7', false]]);
	});

	test('is cancelled when its caller disconnects if it is idempotent, and finished if not', async () => {
		const arrived = setResponses(() => undefined);
		await sendRawRequest(gateway.callers, buildRawRequest({id: 'gone-read', keepAlive: true}), socket => {
			setTimeout(() => {
				socket.destroy();
			}, 100);
		});
		const owner = (id: string): UpstreamServer => upstreams.find(upstream => upstream.receivedRequests.some(request => request.headers.get('request-id') === id))!;
		await waitUntil('the read to be cancelled', () => owner('gone-read').closedConnections.includes(arrived[0]!.connection));
		await sendRawRequest(gateway.callers, buildRawRequest({
			id: 'gone-book', method: 'POST', target: '/book/x', body: 'b', keepAlive: true,
		}), socket => {
			setTimeout(() => {
				socket.destroy();
			}, 100);
		});
		const booked = arrived.find(({headers}) => headers.get('request-id') === 'gone-book')!;
		await new Promise(resolve => {
			setTimeout(resolve, 300);
		});
		expect(owner('gone-book').closedConnections).not.toContain(booked.connection);
	});

	test.each([
		['an idempotent', {target: '/read/x'}],
		['a non-idempotent', {method: 'POST', target: '/book/x', body: 'b'}],
	])('is not sent if the caller of %s request disconnected while the host was blocked', async (kind, request) => {
		const arrived = setResponses(sendSignedResponse);
		const id = `left-${kind.split(' ')[1]}`;
		// The event loop of the host is blocked, so that it reads the request and the caller's disconnect at the same time.
		await sendWhileBlocked(gateway.callers, buildRawRequest({id, keepAlive: true, ...request}), blockMs);
		await sendRawRequest(gateway.callers, buildRawRequest({target: '/read/x'}));
		expect(arrived.map(({headers}) => headers.get('request-id'))).not.toContain(id);
	});

	test('causes no uncaught error when its response ends after the caller has disconnected', async () => {
		const uncaught: unknown[] = [];
		const recordError = (error: unknown): void => {
			uncaught.push(error);
		};

		process.on('uncaughtException', recordError);
		let answered = 0;
		setResponses((arrived, socket) => {
			setTimeout(() => {
				socket.end(`HTTP/1.1 200 OK\r\n${createSignedHead(arrived)}\r\n${'x'.repeat(2000)}`);
				answered++;
			}, 300);
		});
		await sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/book/x', body: 'b', keepAlive: true,
		}), socket => {
			setTimeout(() => {
				socket.destroy();
			}, 100);
		});
		await waitUntil('the response', () => answered === 1);
		setResponses(sendSignedResponse);
		const response = await sendRawRequest(gateway.callers, buildRawRequest());
		process.off('uncaughtException', recordError);
		expect([response.status, uncaught]).toEqual([200, []]);
	});

	test('gets status 504 when its deadline passes', async () => {
		setResponses(() => undefined);
		const [read, book] = await Promise.all([
			sendRawRequest(gateway.callers, buildRawRequest({deadlineMs: 300})),
			sendRawRequest(gateway.callers, buildRawRequest({
				method: 'POST', target: '/book/x', body: 'b', deadlineMs: 300,
			})),
		]);
		expect([read.status, book.status]).toEqual([504, 504]);
	});
});

describe('a request that is rejected', () => {
	test.each([
		['an unknown key', buildRawRequest({key: 'key-9'}), 401],
		['no route', buildRawRequest({target: '/nowhere/x'}), 404],
		['an unknown host', buildRawRequest({host: 'else.example'}), 404],
		['no id', buildRawRequest().replace(/Request-Id: [^\r]*\r\n/v, ''), 400],
		['a head over the size limit', buildRawRequest({headers: `X-Long: ${'x'.repeat(9000)}\r\n`}), 431],
		['a body over the size limit', buildRawRequest({method: 'POST', target: '/book/x', body: 'x'.repeat(100_001)}), 413],
		['two content lengths', buildRawRequest({method: 'POST', target: '/book/x', headers: 'Content-Length: 3\r\nContent-Length: 4\r\n'}), 400],
		['both a content length and chunked encoding', buildRawRequest({method: 'POST', target: '/book/x', headers: 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'}), 400],
		['a space before a colon', buildRawRequest({headers: 'X-Odd : 1\r\n'}), 400],
		['bytes that are not an HTTP request', 'no request at all\r\n\r\n', 400],
	])('for %s gets the matching status and reaches no upstream', async (_, bytes, status) => {
		const arrived = setResponses(sendSignedResponse);
		const response = await sendRawRequest(gateway.callers, bytes);
		expect([response.status, arrived.length]).toEqual([status, 0]);
	});

	test('can\'t be smuggled to an upstream in the body of another request', async () => {
		const arrived = setResponses(sendSignedResponse);
		const inner = buildRawRequest({target: '/read/smuggled', id: 'smuggled'});
		await sendRawRequest(gateway.callers, buildRawRequest({method: 'POST', target: '/book/x', body: inner}));
		expect(arrived.map(({target}) => target)).toEqual(['/book/x']);
	});
});
