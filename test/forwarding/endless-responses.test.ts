import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendSignedResponse} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendEndlessly} from '../support/send-endlessly.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

const bytesPerMiB = 1024 * 1024;
/** Bytes that the buffers of a connection may hold beyond those that the host reads. */
const connectionBufferBytes = 12 * bytesPerMiB;
const neighbourCount = 8;

let system: GatewayWithUpstreams;

beforeAll(async () => {
	const {routes} = platformObjects.configuration(1);
	system = await startGatewayWithUpstreams(platformObjects.configuration(1, {
		routes: [...routes, platformObjects.route({
			name: 'r-not-resumable', path_prefix: '/check/', kind: 'streaming', sticky: true, max_attempts: 2,
		})],
	}));
});

afterAll(async () => {
	await system.stop();
});

const signed = 'Request-Id: ID\r\nResponse-Seal: s\r\n';
const success = `HTTP/1.1 200 OK\r\n${signed}`;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

/** What an upstream sends without end: the start, then `repeated` again and again. */
const cases = [
	{
		place: 'a header', target: '/read/x', start: `${success}X-Long: `, repeated: 'x', limitMiB: 1,
	},
	{
		place: 'headers', target: '/read/x', start: success, repeated: 'X-One: 1\r\n', limitMiB: 1,
	},
	{
		place: 'informational heads', target: '/read/x', start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n', limitMiB: 1,
	},
	{
		place: 'bytes that are no response', target: '/read/x', start: '', repeated: 'certainly not ', limitMiB: 1,
	},
	{
		place: 'a chunk size', target: '/read/x', start: `${success}${chunked}`, repeated: '0', limitMiB: 1,
	},
	{
		place: 'a chunk extension', target: '/read/x', start: `${success}${chunked}4;`, repeated: 'x', limitMiB: 1,
	},
	{
		place: 'trailers', target: '/read/x', start: `${success}${chunked}0\r\n`, repeated: 'X-One: 1\r\n', limitMiB: 1,
	},
	{
		place: 'a body without a length', target: '/read/x', start: `${success}\r\n`, repeated: 'x', limitMiB: 64,
	},
	{
		place: 'a body in chunks', target: '/read/x', start: `${success}${chunked}`, repeated: '1\r\nx\r\n', limitMiB: 64 * 6,
	},
	{
		place: 'an event that may be resumed', target: '/ask/x', start: `${success}\r\n`, repeated: 'x', limitMiB: 2,
	},
	{
		place: 'an event that may not be resumed', target: '/check/x', start: `${success}\r\n`, repeated: 'x', limitMiB: 2,
	},
	{
		place: 'the body of a failure', target: '/read/x', start: `HTTP/1.1 500 Internal Server Error\r\n${signed}\r\n`, repeated: 'x', limitMiB: 2,
	},
	{
		place: 'the body of a rejection', target: '/read/x', start: 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n', repeated: 'x', limitMiB: 1,
	},
];

describe('a response without end', () => {
	test.each(cases)('in $place is cut off, while other requests go on', async ({target, start, repeated, limitMiB}) => {
		const floods: Array<Promise<number>> = [];
		for (const upstream of system.upstreams) {
			upstream.answer = (received, socket) => {
				if (received.headers.get('request-id')!.startsWith('neighbour')) {
					sendSignedResponse(received, socket);
					return;
				}

				socket.write(start.replace('ID', received.headers.get('request-id')!));
				floods.push(sendEndlessly(socket, repeated));
			};
		}

		const flooded = sendRawRequest(system.gateway.callers, buildRawRequest({
			method: 'POST', target, body: 'b', deadlineMs: 5000,
		}));
		const neighbours = await Promise.all(Array.from({length: neighbourCount}, async (_, index) => sendRawRequest(system.gateway.callers, buildRawRequest({
			id: `neighbour-${target}-${repeated.length}-${index}`, method: 'POST', target: '/book/x', body: 'b',
		}))));
		const {status, isWhole, isReset} = await flooded;
		const sentBytes = await Promise.all(floods);
		expect(status === 200 && isWhole && !isReset).toBe(false);
		expect(neighbours.map(response => response.status)).toEqual(neighbours.map(() => 200));
		expect(sentBytes.length).toBeGreaterThan(0);
		expect(Math.max(...sentBytes)).toBeLessThanOrEqual((limitMiB * bytesPerMiB) + connectionBufferBytes);
	});
});
