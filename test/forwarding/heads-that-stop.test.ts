// Guards against a success without a body, or with a part of it, where an upstream stops in the head of its response: docs/PROMISES.md, "Whole answers".
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendSignedResponse} from '../support/create-upstream-server.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startLinkedSystem, type LinkedSystem} from '../support/start-linked-system.js';

const settleMs = 600;
const betweenPartsMs = 20;
const framings: Readonly<Record<string, string>> = {
	length: 'Content-Length: 100\r\n', chunks: 'Transfer-Encoding: chunked\r\n', neither: '', 'interim heads before': 'Content-Length: 100\r\n',
};
const buildHead = (framing: string, id: string): string =>
	`${framing === 'interim heads before' ? 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' : ''}HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${framings[framing]!}\r\n`;
/** Where the upstream stops, as a share of its head; the last ones are within its end. */
const places = ['nothing', 'a third', 'two thirds', 'all but the last line end', 'all but the last byte'] as const;
const cutAt: Readonly<Record<typeof places[number], (head: string) => string>> = {
	nothing: () => '',
	'a third': head => head.slice(0, head.length / 3),
	'two thirds': head => head.slice(0, head.length * 2 / 3),
	'all but the last line end': head => head.slice(0, -2),
	'all but the last byte': head => head.slice(0, -1),
};
const ends = ['closes', 'is reset'] as const;
const targets = ['/read', '/book', '/ask'] as const;
const ways = ['directly', 'by way of another host'] as const;

let system: LinkedSystem;

beforeAll(async () => {
	system = await startLinkedSystem({
		domains: ['domain-a', 'domain-a'], bounds: {retrySlack: 100_000},
		respond(received, socket) {
			if (received.target === '/health' || received.target === '/v1/report') {
				sendSignedResponse(received, socket);
				return;
			}

			const [framing, place, end, parts] = decodeURIComponent(received.target).split('/').slice(2);
			const text = cutAt[place as typeof places[number]](buildHead(framing!, received.headers.get('request-id')!));
			const split = parts === 'two parts' ? Math.floor(text.length / 2) : 0;
			socket.write(text.slice(0, split));
			setTimeout(() => {
				socket.write(text.slice(split));
				setTimeout(() => end === 'closes' ? socket.end() : socket.resetAndDestroy(), betweenPartsMs);
			}, split === 0 ? 0 : betweenPartsMs);
		},
	});
	await system.hosts[0]!.cut('reset');
	await sleep(settleMs);
});

afterAll(async () => {
	await system.stop();
});

describe.concurrent('an upstream that stops in the head of its response', () => {
	test.each(ways.flatMap(way => targets.flatMap(target => Object.keys(framings).flatMap(framing => places.flatMap(place => ends.map(end => [
		way, target, framing, place, end,
	] as const))))))('gives no success: %s, %s, %s, after %s, %s', async (way, target, framing, place, end) => {
		for (const parts of ['one part', 'two parts']) {
			const response = await sendRawRequest(system.hosts[way === 'directly' ? 1 : 0]!.gateway.callers, buildRawRequest({
				target: `${target}/${[framing, place, end, parts].map(text => encodeURIComponent(text)).join('/')}`, method: target === '/book' ? 'POST' : 'GET', deadlineMs: 1500,
			}));
			// It may have run: neither a success nor a promise that it has not.
			expect(response.status).toBe(502);
		}
	});
});
