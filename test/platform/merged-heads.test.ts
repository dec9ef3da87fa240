import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {createUpstreamConnectionPool} from '../../platform/create-upstream-connection-pool.js';
import {classifyResponse} from '../../src/decide/forwarding/classify-response.js';
import {createUpstreamServer, sendSignedResponse, type UpstreamServer} from '../support/create-upstream-server.js';
import {sendOnPool} from '../support/send-on-pool.js';

let server: UpstreamServer;

beforeAll(async () => {
	server = await createUpstreamServer();
});

afterAll(() => {
	server.stop();
});

/** Returns how the response to a request is classified; `broken` without one. */
async function classify(pool: ReturnType<typeof createUpstreamConnectionPool>, id: string): Promise<string> {
	const head = await sendOnPool(pool, id);
	return head ? classifyResponse(head, id) : 'broken';
}

const earlier = [
	['a refusal with an id', 'HTTP/1.1 421 Misdirected Request\r\nRequest-Id: first\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'],
	['a refusal without an id', 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'],
	['a refusal with a body', 'HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nNot-Executed: 1\r\nRequest-Id: first\r\nContent-Length: 4\r\n\r\nfull'],
	['an answer', 'HTTP/1.1 404 Not Found\r\nRequest-Id: first\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno'],
] as const;

describe('a part of an earlier response before the answer to the next request', () => {
	test.each(earlier)('is not taken for that answer, wherever it is cut: %s', async (_, text) => {
		const results: string[] = [];
		for (let cut = 1; cut < text.length; cut++) {
			const pool = createUpstreamConnectionPool(server.address, () => undefined);
			server.answer = (received, socket) => {
				const isNext = received.headers.get('request-id') === 'next';
				if (isNext) {
					socket.cork();
					socket.write(text.slice(0, cut));
					sendSignedResponse(received, socket, 'its own', '500 Internal Server Error');
					socket.uncork();
				} else {
					socket.write(text);
				}
			};

			await classify(pool, 'first');
			const result = await classify(pool, 'next');
			pool.close();
			if (result === 'not-run' || result === 'deliver') {
				results.push(`cut at ${cut}: ${result}`);
			}
		}

		expect(results).toEqual([]);
	}, 30_000);
});
