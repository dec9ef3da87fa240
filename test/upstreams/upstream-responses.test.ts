import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {callPlainService} from '../../src/upstreams/call-plain-service.js';
import {readServerSentEvents} from '../../src/upstreams/read-server-sent-events.js';
import {createEarlyUpstream, type EarlyUpstream} from '../support/create-early-upstream.js';
import {createUpstreamServer, type RequestHandler, type UpstreamServer} from '../support/create-upstream-server.js';

const timeoutMs = 1000;
const resetDelayMs = 30;
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

let server: UpstreamServer;

beforeEach(async () => {
	server = await createUpstreamServer();
});

afterEach(() => {
	server.stop();
});

const call = async () => callPlainService(`http://${server.address}`, {
	requestId: 'r', workspace: 'w', method: 'GET', path: '/x', contentType: '', body: '', idempotencyKey: undefined,
} as Parameters<typeof callPlainService>[1], timeoutMs);

const endings: ReadonlyArray<readonly [string, RequestHandler, string | undefined]> = [
	['a length', (_, socket) => {
		socket.write(`${head}Content-Length: 4\r\n\r\nbody`);
	}, 'body'],
	['its connection', (_, socket) => {
		socket.end(`${head}\r\nbody`);
	}, 'body'],
	['its connection, as announced', (_, socket) => {
		socket.end(`${head}Connection: close\r\n\r\nbody`);
	}, 'body'],
	['its head, since its status has no body', (_, socket) => {
		socket.write('HTTP/1.1 204 No Content\r\n\r\n');
	}, ''],
	['a close before its length', (_, socket) => {
		socket.end(`${head}Content-Length: 8\r\n\r\nbody`);
	}, undefined],
	['a close before its last chunk', (_, socket) => {
		socket.end(`${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`);
	}, undefined],
	['a reset', (_, socket) => {
		socket.write(`${head}\r\nbody`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, resetDelayMs);
		});
	}, undefined],
	['a reset along with its last bytes', (_, socket) => {
		socket.write(`${head}\r\nbody`);
		socket.resetAndDestroy();
	}, undefined],
];

describe('the response of a plain service that ends with', () => {
	test.each(endings)('%s is complete or an error', async (_, answer, expected) => {
		server.answer = answer;
		await (expected === undefined ? expect(call()).rejects.toMatchObject({mayHaveRun: true}) : expect(call()).resolves.toMatchObject({body: expected}));
	});
});

/** The caller got a part of an answer, or a status that is none, as an answer. */
describe('the response of a plain service to a long upload', () => {
	const longBody = 'x'.repeat(16 * 1024 * 1024);
	let early: EarlyUpstream;

	beforeEach(async () => {
		early = await createEarlyUpstream();
	});

	afterEach(() => {
		early.stop();
	});

	const upload = async (body: string) => callPlainService(`http://${early.address}`, {
		requestId: 'r', workspace: 'w', method: 'POST', path: '/x', contentType: 'text/plain', body, idempotencyKey: undefined,
	} as Parameters<typeof callPlainService>[1], timeoutMs);

	const parts = ['', 'Connection: close\r\n', 'Content-Length: 8\r\n', 'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n4'];
	test.each(parts.flatMap(headers => [0, 30].map(afterMs => [headers, afterMs] as const)))('broken off before its end is an error: %j, reset after %i ms', async (headers, afterMs) => {
		early.answer = (_, socket) => {
			socket.write(`${head}${headers}\r\nbody`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, afterMs);
			});
		};

		await expect(upload(longBody)).rejects.toMatchObject({mayHaveRun: true});
	});

	test.each(['000', '099', '0', '20', '2000', '-200', '2x0', '199', '600', '999'])('with the status %s is an error', async status => {
		early.answer = (_, socket) => {
			socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 4\r\n\r\nbody`);
		};

		await expect(upload('body')).rejects.toMatchObject({mayHaveRun: true});
	});
});

async function collect(pieces: readonly string[]): Promise<readonly string[]> {
	const events: string[] = [];
	async function * toBody(): AsyncGenerator<Uint8Array> {
		for (const piece of pieces) {
			yield Buffer.from(piece, 'latin1');
		}
	}

	for await (const event of readServerSentEvents(toBody())) {
		events.push(event);
	}

	return events;
}

describe('the events of an engine', () => {
	test.each([
		['with LF', ['data: a\n\ndata: b\n\n'], ['a', 'b']],
		['with CRLF', ['data: a\r\n\r\ndata: b\r\n\r\n'], ['a', 'b']],
		['of several lines', ['event: x\ndata: a\ndata: b\n\n'], ['a\nb']],
		['cut into pieces', ['da', 'ta: \u00C3', '\u00A6\n', '\ndata: b\n\n'], ['\u00E6', 'b']],
		['without data', [': ping\n\ndata: a\n\n'], ['a']],
		['of which the last is unfinished', ['data: a\n\ndata: b\n'], ['a']],
	])('are read %s', async (_, pieces, expected) => {
		expect(await collect(pieces)).toEqual(expected);
	});

	test('fail when one is without end', async () => {
		const piece = 'x'.repeat(1024);
		await expect(collect(['data: ', ...Array.from({length: 2048}, () => piece)])).rejects.toThrow(/longer than/v);
	});
});
