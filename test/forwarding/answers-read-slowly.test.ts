// Guards against docs/incidents/requests-cut-while-a-stopping-host-stores.md: the host counted a request as ended whose answer it still held.
import {connect} from 'node:net';
import {describe, expect, test} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {createBodyBudget} from '../../src/decide/bodies/create-body-budget.js';
import {createGatewayCallerServer} from '../../src/forwarding/create-gateway-caller-server.js';
import {indexConfiguration} from '../../src/object-store/index-configuration.js';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {waitUntil} from '../support/wait-until.js';

const maxBodyBytes = 1e6;
/** Time in which the host reads that a connection was reset. */
const closeMs = 100;
/** More than the network takes for a caller that does not read. */
const largeBytes = 32 * 1024 * 1024;

type Server = Awaited<ReturnType<typeof createGatewayCallerServer>>;

async function startServer(forward: Parameters<typeof createGatewayCallerServer>[0]['forward']): Promise<{readonly server: Server; readonly port: number}> {
	const [port] = await findTestPorts(1);
	const state = indexConfiguration(adapter.decodeConfiguration(platformObjects.configuration(1))!);
	const server = await createGatewayCallerServer({
		address: `127.0.0.1:${port}`, state: () => state, decode: adapter.decodeRequest, createRefusalHeaders: () => [], isRelay: false, encodeSpentAttempts: () => [],
		acceptsFrom: () => true, maxInFlight: 10, maxConnections: 10,
		load: {bodies: createBodyBudget(() => maxBodyBytes), minBodyBytesPerS: 1, onLimit: () => undefined},
		forward, now: () => performance.now(), onRefusal: () => undefined,
	});
	return {server, port: port!};
}

describe('a request is under way until its answer has left the host', () => {
	test.each([
		['a caller that reads nothing', largeBytes, 1],
		['one that has closed its connection', 0, 0],
		['one whose answer is small', 10, 0],
	] as const)('%s', async (_name, bytes, expected) => {
		let hasForwarded = false;
		const {server, port} = await startServer(async ({answer}) => {
			if (bytes === 0) {
				answer.abort();
			} else {
				answer.begin(200, ['Content-Length', String(bytes)]);
				answer.write(Buffer.alloc(bytes));
				answer.end();
			}

			hasForwarded = true;
		});
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		socket.write(buildRawRequest());
		await waitUntil('the answer to be written', () => hasForwarded);
		await waitUntil('the requests under way', () => server.underWay() === expected);
		let read = 0;
		socket.on('data', chunk => {
			read += chunk.length;
		});
		await closed;
		await waitUntil('the end of the request', () => server.underWay() === 0);
		expect(read).toBeGreaterThanOrEqual(bytes);
		server.stop();
	});

	test('one that waits for an earlier one on its connection, which is closed', async () => {
		let isClosed = false;
		const {server, port} = await startServer(async ({answer, request}) => {
			await waitUntil('the connection to be closed', () => isClosed);
			if (request.target === '/read/second') {
				answer.begin(200, ['Content-Length', '0']);
				answer.end();
			} else {
				answer.abort();
			}
		});
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(buildRawRequest({keepAlive: true}) + buildRawRequest({target: '/read/second', keepAlive: true}));
		await waitUntil('both requests to be under way', () => server.underWay() === 2);
		socket.resetAndDestroy();
		await sleep(closeMs);
		isClosed = true;
		await waitUntil('the end of both', () => server.underWay() === 0);
		server.stop();
	});
});
