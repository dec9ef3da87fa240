/** An upstream answered a long upload before its end, sent a part of a body without a length, and reset the connection; the caller got that part as a whole answer. */
import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createEarlyUpstream, type EarlyUpstream} from '../support/create-early-upstream.js';
import {createLink, type Link} from '../support/create-link.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {createLinkedAdapter} from '../support/create-linked-adapter.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const deadlineMs = 900;
/** More than the network takes while the upstream reads nothing. */
const longBytes = 16 * 1024 * 1024;
/** Fits into what the network takes. */
const mediumBytes = 300_000;
const part = 'part of a body';
/** Time in which the host without links notices it. */
const settleMs = 1500;

/** How the connection ends after the part, not in order, given a time in milliseconds after it. */
const ends: Readonly<Record<string, (socket: Socket, afterMs: number) => void>> = {
	'a reset'(socket, afterMs) {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, afterMs);
	},
	'a close with unread bytes'(socket, afterMs) {
		setTimeout(() => {
			socket.destroy();
		}, afterMs);
	},
	'an end, while the upload is unfinished, then a reset'(socket, afterMs) {
		setTimeout(() => {
			socket.end();
			setTimeout(() => {
				socket.resetAndDestroy();
			}, afterMs);
		}, afterMs);
	},
};

const heads: Readonly<Record<string, (id: string) => string>> = {
	'HTTP/1.1': id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n\r\n`,
	'HTTP/1.1, Connection: close': id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n`,
	'HTTP/1.0': id => `HTTP/1.0 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n\r\n`,
	'HTTP/1.1, a length': id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nContent-Length: 100\r\n\r\n`,
	'HTTP/1.1, a length, Connection: close': id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nConnection: close\r\nContent-Length: 100\r\n\r\n`,
	'HTTP/1.1, chunks, Connection: close': id =>
		`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${part.length.toString(16)}\r\n`,
	'HTTP/1.1, chunks': id => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n${part.length.toString(16)}\r\n`,
};

/** The upload may fit into what the network takes; an end in order is then the end of an answer without a length. */
const sizes: Readonly<Record<string, readonly number[]>> = {
	'a reset': [longBytes, mediumBytes],
	'a close with unread bytes': [longBytes, mediumBytes],
	'an end, while the upload is unfinished, then a reset': [longBytes],
};

let store: ObjectStoreServer;
let upstreams: readonly EarlyUpstream[];
let links: readonly Link[];
/** The one hands on all that it gets to the other, since it does not reach the upstreams. */
let hosts: Readonly<Record<'direct' | 'handed on', TestGateway>>;

beforeAll(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createEarlyUpstream(), createEarlyUpstream()]);
	links = await Promise.all(upstreams.map(async ({address}) => createLink(address)));
	store.put('config', 'main', platformObjects.configuration(1, {
		limits: {
			max_header_bytes: 8192, max_body_bytes: 2 * longBytes, header_timeout_ms: 1000, idle_timeout_ms: 2000,
		},
	}));
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {slots: 64, born: 1_700_000_000_000 + index}));
	}

	const toLink = new Map(upstreams.map(({address}, index) => [address, links[index]!.address]));
	const bounds = {retrySlack: 1000};
	hosts = {
		direct: await startTestGateway(store.address, {bounds}),
		'handed on': await startTestGateway(store.address, {bounds}, createLinkedAdapter(address => toLink.get(address) ?? address)),
	};
	await waitUntilReady(...Object.values(hosts));
	await Promise.all(links.map(async link => link.cut('refused')));
	await sleep(settleMs);
});

afterAll(async () => {
	await Promise.all(Object.values(hosts).map(async host => host.stop()));
	store.stop();
	for (const part of [...upstreams, ...links]) {
		part.stop();
	}
});

let requests = 0;

async function upload(way: keyof typeof hosts, target: string, bytes: number): Promise<RawResponse> {
	return sendRawRequest(hosts[way].callers, buildRawRequest({
		method: 'POST', target, id: `upload-${requests++}`, body: 'x'.repeat(bytes), deadlineMs,
	}));
}

const setAnswer = (answer: EarlyUpstream['answer']): void => {
	for (const upstream of upstreams) {
		upstream.answer = answer;
	}
};

const ways = ['direct', 'handed on'] as const;
const cases = ways.flatMap(way => Object.keys(heads).flatMap(head => Object.keys(ends).flatMap(end => [0, 1, 30].flatMap(afterMs =>
	sizes[end]!.map(bytes => [way, head, end, afterMs, bytes] as const)))));

describe('of an answer that is broken off before the end of its upload, the caller gets no part as a whole one', () => {
	test.each(cases)('%s, %s, %s %i ms after the part, %i bytes', async (way, head, end, afterMs, bytes) => {
		const before = upstreams.flatMap(({received}) => received).length;
		setAnswer((id, socket) => {
			socket.write(`${heads[head]!(id)}${part}`, () => {
				ends[end]!(socket, afterMs);
			});
		});
		const answers = await Promise.all(['/book/x', '/read/x'].map(async target => upload(way, target, bytes)));
		expect(upstreams.flatMap(({received}) => received).length).toBeGreaterThan(before);
		const taken = answers.filter(({status, isWhole, isReset}) => status === 200 && isWhole && !isReset);
		expect(taken.map(({text}) => text.slice(-100))).toEqual([]);
	});
});

/** Statuses that a host must not pass on, nor take for an answer of the upstream. */
const statuses = ['000', '099', '20', '2000', '0', '1', '99', '1000', '600', '999', '-200', '+200', 'abc', '2x0', '100', '101', '103', '199'];
/** What stands beside the status. */
const bodies: Readonly<Record<string, string>> = {
	'a length': `Content-Length: ${part.length}\r\n\r\n${part}`,
	'no length': `\r\n${part}`,
	'no body': 'Content-Length: 0\r\n\r\n',
};

/** What becomes of the connection. */
const connections: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
	closed: (socket, text) => socket.end(text),
	kept: (socket, text) => socket.write(text),
};

const statusCases = ways.flatMap(way => statuses.flatMap(status => Object.keys(bodies).flatMap(body => Object.keys(connections).map(connection => [way, status, body, connection] as const))));

describe('a status that is none reaches no caller', () => {
	test.each(statusCases)('%s, %s, %s, %s', async (way, status, body, connection) => {
		setAnswer((id, socket) => {
			connections[connection]!(socket, `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${bodies[body]!}`);
		});
		const answers = await Promise.all(['/book/x', '/read/x'].map(async target => upload(way, target, 4)));
		for (const answer of answers) {
			expect(answer.status).toBeGreaterThanOrEqual(500);
			expect(answer.status).toBeLessThan(600);
			expect(answer.headers.has('response-seal')).toBe(false);
			expect(answer.isWhole).toBe(true);
			expect(JSON.parse(answer.body)).toMatchObject({error: {ran: 'unknown'}});
		}
	});
});
