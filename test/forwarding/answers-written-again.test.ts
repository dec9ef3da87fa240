import {type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildRawRequest} from '../support/build-raw-request.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startGatewayWithUpstreams, type GatewayWithUpstreams} from '../support/start-gateway-with-upstreams.js';

const callers = 6;
const requestsPerCaller = 8;
const answerDelayMs = 3;

let system: GatewayWithUpstreams;

beforeAll(async () => {
	system = await startGatewayWithUpstreams(platformObjects.configuration(1));
});

afterAll(async () => {
	await system.stop();
});

const statuses = ['200 OK', '404 Not Found', '500 Internal Server Error'] as const;

const writeAnswer = (id: string, status: string): string =>
	`HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-of-${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;

/** What an upstream writes on a connection: the answer to a request, and a copy of the answer before it. */
type Moment = {
	readonly name: string;
	readonly write: (socket: Socket, own: string, earlier: string) => void;
};

const moments: readonly Moment[] = [
	{
		name: 'before its own',
		write(socket, own, earlier) {
			socket.write(earlier + own);
		},
	},
	{
		name: 'twice before its own',
		write(socket, own, earlier) {
			socket.write(earlier + earlier + own);
		},
	},
	{
		name: 'after its own',
		write(socket, own, earlier) {
			socket.write(own + earlier);
		},
	},
	{
		name: 'a moment after its own',
		write(socket, own, earlier) {
			socket.write(own);
			setTimeout(() => socket.write(earlier), 1);
		},
	},
	{
		name: 'in part before its own',
		write(socket, own, earlier) {
			socket.write(earlier.slice(0, earlier.length / 2) + own);
		},
	},
	{
		name: 'its own again, late',
		write(socket, own) {
			socket.write(own);
			setTimeout(() => socket.write(own), answerDelayMs);
		},
	},
];

const routes = [['GET', '/read/x'], ['POST', '/book/x'], ['POST', '/ask/x']] as const;
const cases = statuses.flatMap(status => moments.flatMap(moment => routes.map(([method, target]) => ({
	name: `${method} ${target}, ${status}, ${moment.name}`, method, target, status, moment,
}))));

describe('an answer that an upstream writes once more', () => {
	test.each(cases)('reaches no other caller: $name', async ({name, method, target, status, moment}) => {
		for (const upstream of system.upstreams) {
			const earlier = new Map<Socket, string>();
			upstream.answer = ({headers}, socket) => {
				const own = writeAnswer(headers.get('request-id')!, status);
				setTimeout(() => {
					moment.write(socket, own, earlier.get(socket) ?? '');
					earlier.set(socket, own);
				}, answerDelayMs);
			};
		}

		const responses: Array<{readonly id: string; readonly response: RawResponse}> = [];
		await Promise.all(Array.from({length: callers}, async (_, caller) => {
			for (let index = 0; index < requestsPerCaller; index++) {
				const id = `${name.replaceAll(/\W/gv, '')}-${caller}-${index}`;
				const request = buildRawRequest({
					method, target, id, body: method === 'GET' ? '' : 'b',
				});
				responses.push({id, response: await sendRawRequest(system.gateway.callers, request)});
			}
		}));
		const ofUpstreams = responses.filter(({response}) => response.headers.has('response-seal'));
		expect(responses).toHaveLength(callers * requestsPerCaller);
		expect(ofUpstreams.filter(({id, response}) => response.body !== id || response.headers.get('response-seal') !== `seal-of-${id}`)).toEqual([]);
	});
});
