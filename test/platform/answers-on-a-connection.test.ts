import fc from 'fast-check';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {createUpstreamConnectionPool} from '../../platform/create-upstream-connection-pool.js';
import {classifyResponse} from '../../src/decide/forwarding/classify-response.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {sendOnPool} from '../support/send-on-pool.js';

let server: UpstreamServer;

beforeAll(async () => {
	server = await createUpstreamServer();
});

afterAll(() => {
	server.stop();
});

/** What the upstream does with a request: refuses or runs it, and what of an earlier response on the connection it writes beside. */
const step = fc.record({
	id: fc.constantFrom('a', 'b', 'c'),
	isRefused: fc.boolean(),
	isNamed: fc.boolean(),
	beside: fc.constantFrom('nothing', 'copy before', 'copy after', 'part before'),
	cut: fc.double({
		min: 0.05, max: 0.95, noNaN: true,
	}),
});

type Step = {readonly id: string; readonly isRefused: boolean; readonly isNamed: boolean; readonly beside: string; readonly cut: number};

const writeRefusal = (id: string | undefined): string => `HTTP/1.1 503 Full\r\n${id === undefined ? '' : `Request-Id: ${id}\r\n`}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
const writeAnswer = (id: string, attempt: number): string =>
	`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: ${attempt}\r\nContent-Length: ${String(attempt).length}\r\n\r\n${attempt}`;

/** Plays the steps one after the other on a pool; returns the attempts whose response was believed and is not true. */
async function play(steps: readonly Step[]): Promise<readonly string[]> {
	const pool = createUpstreamConnectionPool(server.address, () => undefined);
	const last = new Map<unknown, string>();
	const lies: string[] = [];
	for (const [attempt, {id, isRefused, isNamed, beside, cut}] of steps.entries()) {
		server.answer = (_, socket) => {
			const own = isRefused ? writeRefusal(isNamed ? id : undefined) : writeAnswer(id, attempt);
			const earlier = last.get(socket) ?? '';
			const before = beside === 'copy before' ? earlier : (beside === 'part before' ? earlier.slice(0, Math.floor(earlier.length * cut)) : '');
			last.set(socket, own);
			socket.write(`${before}${own}${beside === 'copy after' ? earlier : ''}`);
		};

		const head = await sendOnPool(pool, id);
		const believed = head && classifyResponse(head, id);
		const isTrue = believed === 'not-run' ? isRefused : believed !== 'deliver' || (!isRefused && head!.headers.includes(String(attempt)));
		if (!isTrue) {
			lies.push(`attempt ${attempt}: ${believed}`);
		}
	}

	pool.close();
	return lies;
}

describe('answers in any order on the connections of a pool', () => {
	test('are believed only where they answer the attempt, for requests that are sent once each or came back after a refusal', async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 2, maxLength: 8}), async steps => {
			// An id that was answered is not sent again.
			const answered = new Set<string>();
			const sent = steps.filter(({id, isRefused}) => {
				const isSent = !answered.has(id);
				if (!isRefused) {
					answered.add(id);
				}

				return isSent;
			});
			expect(await play(sent)).toEqual([]);
		}), {seed: 3704, numRuns: 300});
	}, 60_000);
});
