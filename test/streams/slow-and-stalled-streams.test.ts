import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

const events = 8;
const deadlineMs = 2500;
const encodeChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

let system: GatewayWithUpstreams;

beforeAll(async () => {
	const configuration = platformObjects.configuration(1);
	system = await startGatewayWithUpstreams({
		...configuration,
		routes: [...configuration.routes, platformObjects.route({
			name: 'r-whole-stream', path_prefix: '/tell/', kind: 'streaming', resumable: false, sticky: true, max_attempts: 1, timeout_ms: 5000,
		})],
	});
});

afterAll(async () => {
	await system.stop();
});

/** Writes the head of a stream, then the texts one after the other; the last one again and again where the stream is endless. */
function play({headers}: ReceivedRequest, socket: Socket, texts: readonly string[], gapMs: number, isEndless: boolean): void {
	const from = Number(headers.get('last-event-id') ?? -1) + 1;
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	let index = from;
	const timer = setInterval(() => {
		const text = texts[Math.min(index, texts.length - 1)]!;
		const isOver = !isEndless && index >= texts.length;
		index++;
		socket.write(isOver ? '0\r\n\r\n' : encodeChunk(text));
		if (isOver) {
			clearInterval(timer);
		}
	}, gapMs);
	socket.on('close', () => {
		clearInterval(timer);
	});
}

const toEvent = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
const wholeEvents = Array.from({length: events}, (_, id) => toEvent(id));
const byteByByte = [...wholeEvents.join('')];

const cases = [
	['slow, an event at a time', wholeEvents, 200, false],
	['slow, a byte at a time', byteByByte, 10, false],
	['stalled before its first event, a byte of a comment now and then', [':'], 100, true],
	['stalled after its first events, a byte of an event now and then', [...wholeEvents.slice(0, 2), 'x'], 100, true],
	['stalled, line ends now and then', [...wholeEvents.slice(0, 2), '\n'], 100, true],
] as const;

describe.each(['/ask/x', '/tell/x'])('a stream of %s', target => {
	test.each(cases)('is passed on whole where it is sound, and ends with its deadline where it is not: %s', async (_, texts, gapMs, isEndless) => {
		for (const upstream of system.upstreams) {
			upstream.answer = (received, socket) => {
				play(received, socket, texts, gapMs, isEndless);
			};
		}

		const response = await sendRawRequest(system.gateway.callers, buildRawRequest({
			method: 'POST', target, body: 'b', deadlineMs,
		}));
		const received = [...response.body.matchAll(/data: e(\d)\n/gv)].map(match => Number(match[1]));
		expect(response.isWhole && response.status === 200).toBe(!isEndless);
		expect(received).toEqual(Array.from({length: isEndless ? received.length : events}, (_value, id) => id));
	}, 20_000);
});
