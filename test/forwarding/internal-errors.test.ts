import {type Socket} from 'node:net';
import process from 'node:process';
import {describe, expect, test} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Sends the first event of a stream, and breaks off. */
function breakOff({headers}: ReceivedRequest, socket: Socket): void {
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	socket.write('f\r\nid: 0\ndata: e\n\n\r\n');
	setTimeout(() => {
		socket.resetAndDestroy();
	}, 50);
}

describe('an internal error of a host', () => {
	test.each([
		['before the response has begun', 1, 500],
		['once the response has begun', 2, 200],
	])('ends the response to the caller: %s', async (_name, failingSend, status) => {
		const rejections: unknown[] = [];
		const recordRejection = (reason: unknown): void => {
			rejections.push(reason);
		};

		process.on('unhandledRejection', recordRejection);
		const store = await createObjectStoreServer();
		const upstream = await createUpstreamServer();
		upstream.answer = breakOff;
		store.put('config', 'main', platformObjects.configuration(1));
		store.put('servers', 'i-0', platformObjects.upstream(upstream.address, {slots: 4}));
		let sends = 0;
		const gateway = await startTestGateway(store.address, {}, {
			...adapter,
			encodeRequest(...args) {
				sends++;
				if (sends === failingSend) {
					throw new TypeError('internal');
				}

				return adapter.encodeRequest(...args);
			},
		});
		await waitUntilReady(gateway);
		const response = await sendRawRequest(gateway.callers, buildRawRequest({target: '/ask/x', deadlineMs: 2000}));
		await gateway.stop();
		store.stop();
		upstream.stop();
		process.off('unhandledRejection', recordRejection);
		expect(response.status).toBe(status);
		expect(response.isWhole).toBe(status === 500);
		expect(rejections).toEqual([]);
	}, 10_000);
});
