import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {createEngineClient} from '../../platform/create-engine-client.js';
import {createObjectStore} from '../../platform/create-object-store.js';
import {callJson} from '../../src/http/call-json.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {sendEndlessly} from '../support/send-endlessly.js';

const bytesPerMiB = 1024 * 1024;
/** Bytes that the buffers of a connection may hold beyond those that the host reads. */
const connectionBufferBytes = 12 * bytesPerMiB;
const maxBodyMiB = 32;
const waitMs = 1000;

let server: UpstreamServer;

beforeEach(async () => {
	server = await createUpstreamServer();
});

afterEach(() => {
	server.stop();
});

const engines = createEngineClient(() => undefined);
const openStore = () => createObjectStore(server.address, {onCall: () => undefined, recordEpoch: () => 0});

describe('a control response without end', () => {
	test.each([
		['a load report', async () => engines.report(server.address)],
		['the answer to an order', async () => engines.order(server.address, 'i-0', {
			model: 'm', version: 1, holder: 'h', token: 1, expectedOrders: 0,
		})],
		['events of KV cache', async () => engines.pollKvEvents(server.address, 0, waitMs)],
		['a list of KV cache', async () => engines.listKvParts(server.address)],
		['the answer to the freeing of KV cache', async () => engines.freeKvParts(server.address, 1, [])],
		['a list of the object store', async () => openStore().list('servers')],
		['a watch of the object store', async () => openStore().watch('servers', {epoch: 0, revision: 1}, waitMs)],
		['an object of the object store', async () => openStore().read('servers', 'i-0')],
		['the answer to a write to the object store', async () => openStore().replace('locks', 'l', {}, {epoch: 0, revision: 1})],
		['the answer to a JSON call', async () => callJson(`http://${server.address}/load`, {timeoutMs: waitMs})],
	] as const)('as %s fails, and its connection is closed past a bound', async (_, call) => {
		const floods: Array<Promise<number>> = [];
		server.answer = (_received, socket) => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"events":[');
			floods.push(sendEndlessly(socket, '[1,"+","s","5c1e07a2",800,"m"],'));
		};

		await expect(call()).rejects.toThrow(/longer than/v);
		expect(await floods[0]).toBeLessThanOrEqual((maxBodyMiB * bytesPerMiB) + connectionBufferBytes);
	});

	test('as pages of a list that begin anew fails', async () => {
		let pages = 0;
		server.answer = (_, socket) => {
			const page = JSON.stringify({items: [{metadata: {name: 'i-0', revision: 1}, spec: {}}], has_more: true, as_of: 1});
			pages++;
			// Past this, the list ends, so that the test does.
			socket.write(pages > 100 ? 'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n' : `HTTP/1.1 200 OK\r\nContent-Length: ${page.length}\r\n\r\n${page}`);
		};

		await expect(openStore().list('servers')).rejects.toThrow();
		expect(pages).toBe(2);
	});
});
