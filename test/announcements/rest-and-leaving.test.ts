// Guards against docs/incidents/requests-to-a-resting-upstream.md.
import {type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {
	createUpstreamServer, type ReceivedRequest, sendSignedResponse, type UpstreamServer,
} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Requests that may reach a resting upstream from half a second on. */
const maxDuringRest = 2;
const noticeMs = 500;
/** Time from an answer that says so by which no request reaches a leaving upstream. */
const drainMs = 2000;
const requestsPerS = 40;

type Upstream = {readonly server: UpstreamServer; readonly arrivals: number[]; respond: (received: ReceivedRequest, socket: Socket) => void};

const respondFull = (headers: string) => (received: ReceivedRequest, socket: Socket): void => {
	socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${received.headers.get('request-id')}\r\n${headers}Content-Length: 0\r\n\r\n`);
};

const getBorn = (index: number): number => 1_700_000_000_000 + index;

async function startSystem(domains: readonly string[], count = 2) {
	const store = await createObjectStoreServer();
	const defaults = platformObjects.configuration(1);
	store.put('config', 'main', {...defaults, services: defaults.services.map(service => ({...service, max_conns: 4000}))});
	const upstreams = await Promise.all(Array.from({length: count}, async () => {
		const server = await createUpstreamServer();
		const upstream: Upstream = {server, arrivals: [], respond: sendSignedResponse};
		server.answer = (received, socket) => {
			upstream.arrivals.push(performance.now());
			upstream.respond(received, socket);
		};

		return upstream;
	}));
	const register = (index: number, changed: Record<string, unknown> = {}): void => {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstreams[index]!.server.address, {born: getBorn(index), slots: 64, ...changed}));
	};

	for (const index of upstreams.keys()) {
		register(index);
	}

	const gateways = await Promise.all(domains.map(async domain => startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}})));
	await waitUntilReady(...gateways);
	await sleep(1300);
	return {
		store, upstreams, gateways, register,
		async stop() {
			await Promise.all(gateways.map(async gateway => gateway.stop()));
			store.stop();
			for (const {server} of upstreams) {
				server.stop();
			}
		},
	};
}

async function sendSteadily(gateways: readonly TestGateway[], durationMs: number, target = '/read/x'): Promise<readonly RawResponse[]> {
	const calls: Array<Promise<RawResponse>> = [];
	const startedAt = performance.now();
	for (let sent = 0; performance.now() - startedAt < durationMs; sent++) {
		calls.push(sendRawRequest(gateways[sent % gateways.length]!.callers, buildRawRequest({target, deadlineMs: 1500})));
		await sleep(Math.max(0, startedAt + ((sent + 1) * 1000 / requestsPerS) - performance.now()));
	}

	return Promise.all(calls);
}

const countBetween = ({arrivals}: Upstream, from: number, until: number): number => arrivals.filter(at => at >= from && at < until).length;

/** Lets an upstream ask for rest once, in the answer to its next request. */
function restOnce(upstream: Upstream, headers: string): {readonly at: () => number} {
	let at = Number.POSITIVE_INFINITY;
	upstream.respond = (received, socket) => {
		at = performance.now();
		upstream.respond = sendSignedResponse;
		respondFull(headers)(received, socket);
	};

	return {at: () => at};
}

describe.concurrent('an upstream that asks a host for rest', () => {
	test.each([
		['3', 'Not-Executed: full\r\n'], ['2.5', 'Not-Executed: full\r\n'], ['30', 'Not-Executed: full\r\n'], ['3', ''], ['999999999', 'Not-Executed: full\r\n'],
	])('gets nothing more from it until the time is over: %s s, %j', async (retryAfter, headers) => {
		const system = await startSystem(['domain-a']);
		const [resting] = system.upstreams;
		const rest = restOnce(resting!, `Retry-After: ${retryAfter}\r\n${headers}`);
		const responses = await sendSteadily(system.gateways, 3800);
		const endsAt = rest.at() + (Number(retryAfter) * 1000);
		const during = countBetween(resting!, rest.at() + noticeMs, Math.min(endsAt, performance.now()));
		const after = await sendSteadily(system.gateways, 1500);
		const back = countBetween(resting!, endsAt, performance.now());
		await system.stop();
		expect(during).toBeLessThanOrEqual(maxDuringRest);
		expect([...responses, ...after].filter(({status}) => status === 200).length).toBeGreaterThanOrEqual(responses.length + after.length - 1);
		// Without the statement that it was not run, the answer counts as a failure, which is held against the upstream for longer.
		if (headers !== '') {
			expect(back > 10).toBe(Number(retryAfter) < 5);
		}
	});

	test.each(['0', '-3', 'Fri, 01 Jan 2027 00:00:00 GMT', 'soon', '0x9', ''])('is used on where the time is %j', async retryAfter => {
		const system = await startSystem(['domain-a']);
		const [upstream] = system.upstreams;
		const rest = restOnce(upstream!, `Retry-After: ${retryAfter}\r\nNot-Executed: full\r\n`);
		await sendSteadily(system.gateways, 2500);
		const during = countBetween(upstream!, rest.at() + noticeMs, performance.now());
		await system.stop();
		expect(during).toBeGreaterThan(10);
	});

	test('rests from that host only', async () => {
		const system = await startSystem(['domain-a', 'domain-a']);
		const [resting] = system.upstreams;
		const rest = restOnce(resting!, 'Retry-After: 30\r\nNot-Executed: full\r\n');
		await sendSteadily(system.gateways.slice(0, 1), 1000);
		const from = performance.now();
		await sendSteadily(system.gateways, 2000);
		const arrived = countBetween(resting!, from, performance.now());
		await system.stop();
		expect(rest.at()).toBeLessThan(from);
		expect(arrived).toBeGreaterThan(10);
		expect(arrived).toBeLessThan(requestsPerS);
	});

	test('is free at once when it starts again under its id', async () => {
		const system = await startSystem(['domain-a']);
		const [resting] = system.upstreams;
		restOnce(resting!, 'Retry-After: 30\r\nNot-Executed: full\r\n');
		await sendSteadily(system.gateways, 1000);
		system.register(0, {born: getBorn(100)});
		await sleep(300);
		const from = performance.now();
		await sendSteadily(system.gateways, 1000);
		const arrived = countBetween(resting!, from, performance.now());
		await system.stop();
		expect(arrived).toBeGreaterThan(5);
	});

	test('leaves callers with the earliest end where all do so', async () => {
		const system = await startSystem(['domain-a']);
		for (const [index, upstream] of system.upstreams.entries()) {
			upstream.respond = respondFull(`Retry-After: ${index === 0 ? 3 : 30}\r\nNot-Executed: full\r\n`);
		}

		await sendSteadily(system.gateways, 600);
		const responses = await sendSteadily(system.gateways, 1000);
		await system.stop();
		for (const {status, headers} of responses) {
			expect([429, 503]).toContain(status);
			expect(Number(headers.get('retry-after'))).toBeGreaterThan(0.8);
			expect(Number(headers.get('retry-after'))).toBeLessThan(4.5);
		}
	});
});

const leavingHeader = 'Server-Leaving: 1\r\n';
const stateLeaving: ReadonlyArray<readonly [string, string, (received: ReceivedRequest, socket: Socket) => void]> = [
	['a success', '/read/x', (received, socket) => {
		sendSignedResponse(received, socket, 'whole', '200 OK', leavingHeader);
	}],
	['an error', '/read/x', (received, socket) => {
		sendSignedResponse(received, socket, 'no', '500 Error', leavingHeader);
	}],
	['an answer that turns a request away', '/read/x', respondFull(`Not-Executed: leaving\r\n${leavingHeader}`)],
	['the head of a long stream', '/ask/x', ({headers}, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\n${leavingHeader}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	}],
];

describe.concurrent('an upstream that says that it leaves', () => {
	test.each(stateLeaving)('gets no request later, from any host: in %s', async (_name, target, respond) => {
		const system = await startSystem(['domain-a', 'domain-b']);
		const [leaving, staying] = system.upstreams;
		leaving!.respond = respond;
		if (target === '/ask/x') {
			staying!.respond = (received, socket) => {
				sendSignedResponse(received, socket, 'id: 0\ndata: e\n\n', '200 OK', 'Content-Type: text/event-stream\r\n');
			};
		}

		await sendSteadily(system.gateways.slice(0, 1), 700, target);
		const first = leaving!.arrivals[0]!;
		await sleep(drainMs);
		// A word of the store that is older than the answer does not take it back.
		system.register(0, {cold_remaining_ms: 5});
		await sleep(300);
		const from = performance.now();
		const responses = await sendSteadily(system.gateways, 1500, target);
		const later = countBetween(leaving!, from, performance.now());
		system.register(0, {born: getBorn(100)});
		leaving!.respond = sendSignedResponse;
		await sleep(300);
		const again = performance.now();
		await sendSteadily(system.gateways, 1000);
		const arrived = countBetween(leaving!, again, performance.now());
		await system.stop();
		expect(first).toBeLessThan(from);
		expect(later).toBe(0);
		expect(responses.filter(({status}) => status === 200).length).toBe(responses.length);
		expect(arrived).toBeGreaterThan(5);
	});

	test('leaves callers with a refusal at once where all do so', async () => {
		const system = await startSystem(['domain-a']);
		for (const upstream of system.upstreams) {
			upstream.respond = (received, socket) => {
				sendSignedResponse(received, socket, 'whole', '200 OK', leavingHeader);
			};
		}

		await sendSteadily(system.gateways, 1000);
		const arrivedBefore = system.upstreams.map(({arrivals}) => arrivals.length);
		const responses = await sendSteadily(system.gateways, 500);
		await system.stop();
		expect(system.upstreams.map(({arrivals}) => arrivals.length)).toEqual(arrivedBefore);
		expect(responses.every(({status}) => status === 503)).toBe(true);
	});
});
