import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendSignedResponse, type ReceivedRequest, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

const callers = 6;
const requestsPerCaller = 8;
/** Each upstream refuses one in this many of the requests that it gets for the first time. */
const refusedShare = 3;
const answerDelayMs = 5;
/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

let system: GatewayWithUpstreams;

beforeAll(async () => {
	const configuration = platformObjects.configuration(1);
	system = await startGatewayWithUpstreams({
		...configuration,
		routes: [...configuration.routes, platformObjects.route({
			name: 'r-whole-stream', path_prefix: '/tell/', kind: 'streaming', resumable: false, sticky: true, max_attempts: 1,
		})],
	});
});

afterAll(async () => {
	await system.stop();
});

type Refusal = {
	readonly name: string;
	/** Returns the bytes of the refusal of a request. */
	readonly write: (id: string) => string;
};

const refusals: readonly Refusal[] = [
	{
		name: '503 with the request id',
		write: id => `HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
	},
	{
		name: '503 without an id',
		write: () => 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
	},
	{
		name: '503 with a body and the request id',
		write: id => `HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull`,
	},
	{
		name: '421 with the request id',
		write: id => `HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
	},
	{
		name: '421 without an id',
		write: () => 'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n',
	},
];

type Moment = {
	readonly name: string;
	/** Called after a refusal was written. */
	readonly afterRefusal?: (copy: string, socket: Socket) => void;
	/** Called as the next request arrives on the connection. */
	readonly asNextArrives?: (copy: string, socket: Socket) => void;
	/** Writes the answer to that request. */
	readonly answerNext?: (copy: string, received: ReceivedRequest, socket: Socket) => void;
};

const half = (copy: string): number => Math.floor(copy.length / 2);

const moments: readonly Moment[] = [
	{
		name: 'as the next request arrives',
		asNextArrives: (copy, socket) => socket.write(copy),
	},
	{
		name: 'twice as the next request arrives',
		asNextArrives: (copy, socket) => socket.write(copy + copy),
	},
	{
		name: 'while the connection is idle',
		afterRefusal(copy, socket) {
			setTimeout(() => socket.write(copy), 1);
		},
	},
	{
		name: 'in one write with the refusal',
		afterRefusal: (copy, socket) => socket.write(copy),
	},
	{
		name: 'in parts around the arrival of the next request',
		afterRefusal: (copy, socket) => socket.write(copy.slice(0, half(copy))),
		asNextArrives: (copy, socket) => socket.write(copy.slice(half(copy))),
	},
	{
		name: 'in one write with the answer to the next request',
		answerNext(copy, received, socket) {
			socket.cork();
			socket.write(copy);
			sendSignedResponse(received, socket);
			socket.uncork();
		},
	},
	{
		name: 'after the answer to the next request',
		answerNext(copy, received, socket) {
			socket.cork();
			sendSignedResponse(received, socket);
			socket.write(copy);
			socket.uncork();
		},
	},
];

const routes = [
	['a request that may run once', 'POST', '/book/x', true],
	['an idempotent request', 'GET', '/read/x', false],
	['a stream', 'POST', '/ask/x', false],
	['a stream that can not be resumed', 'POST', '/tell/x', true],
] as const;

/** Makes the upstreams refuse some requests and write these refusals once more. Returns the upstreams' runs by request id. */
function playRefusals(upstreams: readonly UpstreamServer[], refusal: Refusal, moment: Moment): Map<string, number> {
	const runs = new Map<string, number>();
	for (const upstream of upstreams) {
		const seen = new Set<string>();
		const copies = new Map<Socket, string>();
		upstream.answer = (received, socket) => {
			const id = received.headers.get('request-id')!;
			const copy = copies.get(socket);
			copies.delete(socket);
			if (copy !== undefined) {
				moment.asNextArrives?.(copy, socket);
			}

			if (!seen.has(id) && seen.size % refusedShare === 0) {
				seen.add(id);
				const written = refusal.write(id);
				copies.set(socket, written);
				socket.write(written);
				moment.afterRefusal?.(written, socket);
				return;
			}

			seen.add(id);
			runs.set(id, (runs.get(id) ?? 0) + 1);
			setTimeout(() => {
				if (copy !== undefined && moment.answerNext) {
					moment.answerNext(copy, received, socket);
				} else {
					sendSignedResponse(received, socket);
				}
			}, answerDelayMs);
		};
	}

	return runs;
}

describe.each(routes)('%s', (_, method, target, isOnce) => {
	const cases = refusals.flatMap(refusal => moments.map(moment => ({refusal, moment, name: `${refusal.name}, ${moment.name}`})));

	test.each(cases)('is answered truly where upstreams write refusals once more: $name', async ({refusal, moment, name}) => {
		const runs = playRefusals(system.upstreams, refusal, moment);
		const responses: Array<{readonly id: string; readonly response: RawResponse}> = [];
		await Promise.all(Array.from({length: callers}, async (_, caller) => {
			for (let index = 0; index < requestsPerCaller; index++) {
				const id = `${target.slice(1, 4)}-${name.replaceAll(/\W/gv, '')}-${caller}-${index}`;
				const request = buildRawRequest({
					method, target, id, body: method === 'GET' ? '' : 'b',
				});
				const response = await sendRawRequest(system.gateway.callers, request);
				responses.push({id, response});
			}
		}));
		const isRun = (id: string): boolean => (runs.get(id) ?? 0) > 0;
		expect({
			answers: responses.length,
			falseRefusals: responses.filter(({id, response}) => notRunStatuses.has(response.status) && isRun(id)).map(({id}) => id),
			ranTwice: isOnce ? [...runs].filter(([, count]) => count > 1) : [],
			ofOthers: responses.filter(({id, response}) => response.status === 200 && response.headers.get('response-seal') !== `seal-of-${id}`).map(({id}) => id),
		}).toEqual({
			answers: callers * requestsPerCaller, falseRefusals: [], ranTwice: [], ofOthers: [],
		});
	});
});
