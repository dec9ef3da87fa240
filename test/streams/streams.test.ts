import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {type TestGateway} from '../support/start-test-gateway.js';
import {type ReceivedRequest, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';
import {waitUntil} from '../support/wait-until.js';

let testSetup: GatewayWithUpstreams;
let gateway: TestGateway;
let upstreams: readonly UpstreamServer[];

beforeAll(async () => {
	const {routes} = platformObjects.configuration(1);
	testSetup = await startGatewayWithUpstreams(platformObjects.configuration(1, {
		routes: [...routes, platformObjects.route({
			name: 'r-not-resumable', path_prefix: '/check/', kind: 'streaming', sticky: true, max_attempts: 2,
		})],
	}));
	({gateway, upstreams} = testSetup);
});

afterAll(async () => {
	await testSetup.stop();
});

const toEvents = (from: number, to: number): string => Array.from({length: to - from}, (_, index) => `id: ${from + index}\ndata: piece ${from + index}\n\n`).join('');
const toChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** Makes the upstreams answer the first request with the events before `breakAt` and half of the next one, later requests with the rest. */
function breakFirstResponse(breakAt: number): {readonly arrived: ReceivedRequest[]; readonly first: () => Socket} {
	const arrived: ReceivedRequest[] = [];
	let first: Socket | undefined;
	for (const upstream of upstreams) {
		upstream.answer = (request, socket) => {
			arrived.push(request);
			const after = request.headers.get('last-event-id');
			const from = after === undefined ? 0 : Number(after) + 1;
			const id = request.headers.get('request-id');
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: run-${arrived.length}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
			if (arrived.length === 1) {
				first = socket;
				socket.write(toChunk(`${toEvents(from, breakAt)}id: ${breakAt}\ndata: pie`));
				return;
			}

			socket.write(`${toChunk(toEvents(from, 8))}0\r\n\r\n`);
		};
	}

	return {arrived, first: () => first!};
}

/** Sends a request and calls `onText` once the response contains `text`. */
async function sendAndBreak(bytes: string, text: string, onText: () => void): Promise<RawResponse> {
	return sendRawRequest(gateway.callers, bytes, socket => {
		let received = '';
		socket.on('data', chunk => {
			const alreadySeen = received.includes(text);
			received += chunk.toString('latin1');
			if (!alreadySeen && received.includes(text)) {
				onText();
			}
		});
	});
}

const breakages: ReadonlyArray<readonly [string, (socket: Socket) => void]> = [
	['a close', socket => socket.destroy()],
	['a reset', socket => socket.resetAndDestroy()],
	['an invalid chunk', socket => socket.write('zzz\r\n')],
];

describe('a stream that is interrupted within an event', () => {
	test.each(breakages)('by %s resumes at another upstream, without a gap and with the first response head', async (_, end) => {
		const {arrived, first} = breakFirstResponse(3);
		const got = await sendAndBreak(buildRawRequest({
			method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000,
		}), 'piece 2', () => {
			end(first());
		});
		expect([got.status, got.isWhole, got.body]).toEqual([200, true, toEvents(0, 8)]);
		expect(got.headers.get('response-seal')).toBe('run-1');
		expect(arrived.map(request => request.headers.get('last-event-id'))).toEqual([undefined, '2']);
		expect(arrived[0]!.headers.get('expect-instance')).not.toBe(arrived[1]!.headers.get('expect-instance'));
	});

	test.each(breakages)('by %s is interrupted for the caller too when its route is not resumable', async (_, end) => {
		const {arrived, first} = breakFirstResponse(3);
		const got = await sendAndBreak(buildRawRequest({
			method: 'POST', target: '/check/x', body: 'prompt', deadlineMs: 1400,
		}), 'piece 2', () => {
			end(first());
		});
		expect([got.status, got.isWhole, arrived.length]).toEqual([200, false, 1]);
		expect(toEvents(0, 8).startsWith(got.body.replace(/id: 3\ndata: pie.*$/sv, ''))).toBe(true);
	});
});

describe('a stream that is interrupted after its head and before its first event', () => {
	test('starts again at another upstream', async () => {
		const {arrived, first} = breakFirstResponse(0);
		const called = sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000,
		}));
		await waitUntil('the first send', () => arrived.length === 1);
		first().resetAndDestroy();
		const got = await called;
		expect([got.status, got.isWhole, got.body, arrived.length]).toEqual([200, true, toEvents(0, 8), 2]);
	});
});

describe('a stream that breaks after its first events', () => {
	const continuations: ReadonlyArray<readonly [string, (id: string) => string, boolean]> = [
		['by a stream of another length', id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: run-2\r\nContent-Length: ${toEvents(3, 9).length}\r\n\r\n${toEvents(3, 9)}`, true],
		['not by the failure of another upstream', id => `HTTP/1.1 404 Not Found\r\nRequest-Id: ${id}\r\nResponse-Seal: run-2\r\nContent-Length: 2\r\n\r\nno`, false],
		['not by a body of another media type', id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: run-2\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno`, false],
	];

	test.each(continuations)('is continued %s', async (_, build, isContinued) => {
		let sends = 0;
		for (const upstream of upstreams) {
			upstream.answer = ({headers}, socket) => {
				const id = headers.get('request-id')!;
				if (sends++ > 0) {
					socket.write(build(id));
					return;
				}

				socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: run-1\r\nContent-Length: ${toEvents(0, 8).length}\r\n\r\n${toEvents(0, 3)}`);
			};
		}

		const got = await sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 1200,
		}));
		expect([got.status, got.isWhole && !got.isReset, got.body]).toEqual([200, isContinued, isContinued ? toEvents(0, 9) : toEvents(0, 3)]);
		expect(sends).toBe(2);
	});
});

describe('a stream that the caller resumes', () => {
	test('continues after the last event that the caller received', async () => {
		const {arrived} = breakFirstResponse(8);
		// Stands for a first request, so that the next response is complete.
		arrived.push({
			method: '', target: '', headers: new Map(), rawHeaders: '', body: Buffer.alloc(0), connection: -1,
		});
		const got = await sendRawRequest(gateway.callers, buildRawRequest({
			method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000, headers: 'Last-Event-Id: 4\r\n',
		}));
		expect([got.body, got.isWhole]).toEqual([toEvents(5, 8), true]);
	});
});
