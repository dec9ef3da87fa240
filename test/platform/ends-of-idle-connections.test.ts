import {type AddressInfo, createServer, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {createUpstreamConnectionPool} from '../../platform/create-upstream-connection-pool.js';
import {sleep} from '../../src/util/sleep.js';
import {waitUntil} from '../support/wait-until.js';

let sockets: Socket[] = [];
const server = createServer({allowHalfOpen: true}, socket => {
	sockets.push(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
});

beforeEach(async () => {
	sockets = [];
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
});
afterEach(() => {
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

/** Sends one request, and counts the ends that are told afterwards. */
async function openIdle() {
	const told = {ends: 0};
	const pool = createUpstreamConnectionPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => undefined, () => {
		told.ends++;
	});
	await new Promise<void>(resolve => {
		pool.send({
			id: 'r', method: 'GET', target: '/', headers: [], body: undefined,
		}, {
			onHead: () => undefined, onData: () => true,
			onEnd() {
				resolve();
				return true;
			},
			onFail: () => undefined,
		});
	});
	return {pool, told};
}

// Guards against an upstream that is taken for a crashed one, since this host closed an idle connection itself: it was held back as cold then.
describe('the end of an idle connection', () => {
	test.each([
		['ended', (socket: Socket) => {
			socket.end();
		}],
		['reset', (socket: Socket) => {
			socket.resetAndDestroy();
		}],
	])('is told where the upstream has %s it', async (_name, end) => {
		const {pool, told} = await openIdle();
		end(sockets[0]!);
		await waitUntil('the end is told', () => told.ends === 1, 5000);
		pool.close();
	});

	test('is not told where this host closes it, or its idle time is over', async () => {
		const idle = await openIdle();
		const closing = await openIdle();
		const destroyed = await openIdle();
		closing.pool.close();
		destroyed.pool.closeIdle();
		await waitUntil('the idle time is over', () => !idle.pool.hasIdle(), 10_000);
		await sleep(50);
		expect([idle, closing, destroyed].map(({told}) => told.ends)).toEqual([0, 0, 0]);
	}, 20_000);
});
