import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {UpstreamResponseError} from '../../src/errors/upstream-response-error.js';
import {createHttpEngine} from '../../src/upstreams/create-http-engine.js';
import {type EngineRequest} from '../../src/upstreams/engine-request.js';
import {callJson} from '../../src/http/call-json.js';
import {sleep} from '../../src/util/sleep.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';

const idleMs = 50;

let server: UpstreamServer;

beforeEach(async () => {
	server = await createUpstreamServer();
});

afterEach(() => {
	server.stop();
});

const refusal = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n';
const end = 'data: {"id": "attempt", "usage": {"prompt_tokens": 1, "cached_tokens": 0, "completion_tokens": 0}}\n\ndata: [DONE]\n\n';
const stream = `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: ${end.length}\r\n\r\n${end}`;

async function run(): Promise<string> {
	const kinds: string[] = [];
	try {
		const request = {
			requestId: 'r', attempt: 'attempt', model: 'm', version: 'v1', prompt: 'p', promptTokens: 1, maxTokens: 1, priority: 1, keys: [], offset: 0,
			stallTimeoutMs: 1000, signal: new AbortController().signal,
		} as unknown as EngineRequest;
		for await (const event of createHttpEngine(`http://${server.address}`).run(request)) {
			kinds.push(event.kind);
		}

		return kinds.join(',');
	} catch (error) {
		return error instanceof UpstreamResponseError && !error.mayHaveRun ? 'not run' : 'may have run';
	}
}

describe('a run at an engine that writes an earlier refusal once more', () => {
	const earlier = [
		{name: 'of a run', before: run},
		{name: 'of a control call', before: async () => callJson(`http://${server.address}/load`, {timeoutMs: 1000})},
	] as const;

	test.each(earlier)('does not take it for its own: $name', async ({before}) => {
		const refused = new Set<unknown>();
		server.answer = ({connection, target}, socket) => {
			const isFirst = refused.size === 0;
			if (target === '/cancel') {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
				return;
			}

			socket.write(isFirst || refused.has(connection) ? refusal : '');
			if (isFirst) {
				refused.add(connection);
				return;
			}

			socket.write(stream);
		};

		await Promise.allSettled([before()]);
		// The engine's connections are idle again.
		await sleep(idleMs);
		expect(await run()).toBe('end');
	});
});
