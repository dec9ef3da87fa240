// Guards against bytes of an error in the middle of a stream, and against a stream that ends as if it were complete: docs/PROMISES.md, "Streams".
import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendSignedResponse, type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startLinkedSystem, type LinkedSystem} from '../support/start-linked-system.js';

const firstEvents = 4;
const settleMs = 600;
const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const firstText = Array.from({length: firstEvents}, (_, index) => event(index)).join('');

type Answer = (received: ReceivedRequest, socket: Socket) => void;

const seal = ({headers}: ReceivedRequest): string => `Request-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\n`;
const write = (build: (sealed: string) => string): Answer => (received, socket) => {
	socket.write(build(seal(received)));
};

const writeAndEnd = (build: (sealed: string) => string): Answer => (received, socket) => {
	socket.end(build(seal(received)));
};

const writeAndReset = (build: (sealed: string) => string): Answer => (received, socket) => {
	socket.write(build(seal(received)), () => {
		setTimeout(() => socket.resetAndDestroy(), 10);
	});
};

const eventStream = 'Content-Type: text/event-stream\r\n';
const fullHead = `HTTP/1.1 200 OK\r\n${eventStream}Transfer-Encoding: chunked\r\nRequest-Id: x\r\nResponse-Seal: s\r\n\r\n`;
/** Lengths of the part of a head after which an upstream stops. */
const cutLengths = [0, 5, 12, 17, 30, fullHead.length - 30, fullHead.length - 4, fullHead.length - 2];

/** What the next upstream answers, for a stream that has begun. */
const errors: Readonly<Record<string, Answer>> = {
	'500 with a body': write(sealed => `HTTP/1.1 500 Failed\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	'500 without a body': write(sealed => `HTTP/1.1 500 Failed\r\n${sealed}Content-Length: 0\r\n\r\n`),
	'500 as an event stream': write(sealed => `HTTP/1.1 500 Failed\r\n${sealed}${eventStream}Content-Length: ${event(4).length}\r\n\r\n${event(4)}`),
	'500 with broken chunks': writeAndEnd(sealed => `HTTP/1.1 500 Failed\r\n${sealed}Transfer-Encoding: chunked\r\n\r\nzz\r\nerror\r\n0\r\n\r\n`),
	'500 whose body is cut': writeAndReset(sealed => `HTTP/1.1 500 Failed\r\n${sealed}Content-Length: 50\r\n\r\nerror`),
	'500 that ends with its connection': writeAndEnd(sealed => `HTTP/1.1 500 Failed\r\n${sealed}\r\nerror`),
	'500 after interim heads': write(sealed => `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 500 Failed\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	'500 with trailers': write(sealed => `HTTP/1.1 500 Failed\r\n${sealed}Transfer-Encoding: chunked\r\n\r\n${chunk('error')}0\r\nX-Trailer: error\r\n\r\n`),
	'502 without a seal': write(() => 'HTTP/1.1 502 Bad\r\nContent-Length: 5\r\n\r\nerror'),
	'504 at the deadline': write(sealed => `HTTP/1.1 504 Timeout\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	'503 that was not run': write(sealed => `HTTP/1.1 503 Full\r\n${sealed}Not-Executed: full\r\nContent-Length: 5\r\n\r\nerror`),
	'429 that does not say it was not run': write(sealed => `HTTP/1.1 429 Busy\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	400: write(sealed => `HTTP/1.1 400 Bad\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	'200 with text': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror`),
	'200 without a type and with text': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}Content-Length: 5\r\n\r\nerror`),
	'200 without a type and without a body': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}Content-Length: 0\r\n\r\n`),
	'200 without a seal': write(() => `HTTP/1.1 200 OK\r\n${eventStream}Content-Length: ${event(4).length}\r\n\r\n${event(4)}`),
	'an event stream that ends inside an event': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}${eventStream}Content-Length: 9\r\n\r\nid: 4\ndat`),
	'an event stream without an event that is reset': writeAndReset(sealed => `HTTP/1.1 200 OK\r\n${sealed}${eventStream}\r\n`),
	204: write(sealed => `HTTP/1.1 204 No Content\r\n${sealed}\r\n`),
	'bytes that are no response': writeAndEnd(() => 'error error error\r\n\r\n'),
	...Object.fromEntries(cutLengths.flatMap(length => [
		[`a head that stops after ${length} bytes and is closed`, writeAndEnd(sealed => `HTTP/1.1 200 OK\r\n${eventStream}Transfer-Encoding: chunked\r\n${sealed}\r\n`.slice(0, length))],
		[`a head that stops after ${length} bytes and is reset`, writeAndReset(sealed => `HTTP/1.1 200 OK\r\n${eventStream}Transfer-Encoding: chunked\r\n${sealed}\r\n`.slice(0, length))],
	] as const)),
};

/** A stream that broke off after its last event: the next upstream says, in a response that is a stream and ends in an orderly way, that nothing follows. */
const ends: Readonly<Record<string, Answer>> = {
	'an event stream without an event, of length 0': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}${eventStream}Content-Length: 0\r\n\r\n`),
	'an event stream without an event, that ends with its connection': writeAndEnd(sealed => `HTTP/1.1 200 OK\r\n${sealed}${eventStream}\r\n`),
	'an event stream without an event, in chunks': write(sealed => `HTTP/1.1 200 OK\r\n${sealed}${eventStream}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`),
};

const answers = {...errors, ...ends};
const ways = ['directly', 'by way of another host'] as const;
/** How the first upstream breaks off after its events. */
const breaks: Readonly<Record<string, (socket: Socket) => void>> = {
	'is reset': socket => socket.resetAndDestroy(),
	closes: socket => socket.end(),
	'closes inside an event': socket => socket.end(chunk('id: 4\ndat')),
};

let system: LinkedSystem;

beforeAll(async () => {
	system = await startLinkedSystem({
		domains: ['domain-a', 'domain-a'], upstreams: 4, bounds: {retrySlack: 100_000},
		configuration: {routes: platformObjects.configuration(1).routes.map(route => ({...route, ...(route.kind === 'streaming' ? {max_attempts: 3} : {})}))},
		respond(received, socket) {
			if (!received.target.startsWith('/ask/')) {
				sendSignedResponse(received, socket);
				return;
			}

			const [breakName, answerName] = decodeURIComponent(received.target).split('/').slice(2);
			if (received.headers.has('last-event-id')) {
				answers[answerName!]!(received, socket);
				return;
			}

			socket.write(`HTTP/1.1 200 OK\r\n${seal(received)}${eventStream}Transfer-Encoding: chunked\r\n\r\n${chunk(firstText)}`, () => {
				setTimeout(breaks[breakName!]!, 10, socket);
			});
		},
	});
	await system.hosts[0]!.cut('reset');
	await sleep(settleMs);
});

afterAll(async () => {
	await system.stop();
});

const toTarget = (breakName: string, answerName: string): string => `/ask/${encodeURIComponent(breakName)}/${encodeURIComponent(answerName)}`;
const callersOf = (way: typeof ways[number]): string => system.hosts[way === 'directly' ? 1 : 0]!.gateway.callers;
const all = <T>(names: readonly T[]) => ways.flatMap(way => Object.keys(breaks).flatMap(breakName => names.map(name => [way, breakName, name] as const)));

describe.concurrent('a stream that has begun and broken off', () => {
	test.each(all(Object.keys(errors)))('is never continued by an error, nor ended as complete: %s, %s, then %s', async (way, breakName, name) => {
		const response = await sendRawRequest(callersOf(way), buildRawRequest({target: toTarget(breakName, name), deadlineMs: 1500}));
		expect([response.status, response.body, response.isWhole]).toEqual([200, firstText, false]);
	});

	test.each(all(Object.keys(ends)))('ends where an upstream says in a whole event stream that nothing follows: %s, %s, then %s', async (way, breakName, name) => {
		const response = await sendRawRequest(callersOf(way), buildRawRequest({target: toTarget(breakName, name), deadlineMs: 1500}));
		expect([response.status, response.body, response.isWhole]).toEqual([200, firstText, true]);
	});
});

describe.concurrent('a stream that its caller takes up', () => {
	test.each(ways.flatMap(way => Object.keys(errors).filter(name => !['204', '200 with text', '200 without a type and with text', '200 without a type and without a body'].includes(name)).map(name => [way, name] as const)))('gets no success without the rest of the stream: %s, %s', async (way, name) => {
		const response = await sendRawRequest(callersOf(way), buildRawRequest({
			target: toTarget('closes', name), deadlineMs: 1500, headers: `Last-Event-Id: ${firstEvents - 1}\r\n`,
		}));
		expect(response.status === 200 && response.isWhole).toBe(false);
		expect(response.status === 200 ? response.body : '').not.toContain('error');
	});
});
