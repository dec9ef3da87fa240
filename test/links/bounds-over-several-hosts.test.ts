// Guards against docs/incidents/more-upstreams-than-a-route-allows.md: each bound of a request holds over all hosts that it passes.
import {type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {type GatewayAdapter} from '../../src/forwarding/gateway-adapter.js';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {sendSignedResponse, type ReceivedRequest} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startLinkedSystem, type LinkedSystem} from '../support/start-linked-system.js';

const domains = ['domain-a', 'domain-a', 'domain-b', 'domain-b'];
const settleMs = 600;
/** Far longer than these cases take, so that none is cut short where hosts are slow. */
const deadlineMs = 20_000;
/** Limit on the sends of one request, over all hosts. */
const maxSends = 5;
/** Longer than a check for a crash and the next report to the other hosts. */
const reportWaitMs = 600;
const retryRatio = 0.2;
const retrySlack = 24;
/** By this much the stated deadline may end after the caller's. */
const deadlineSlackMs = 500;

type Answer = (received: ReceivedRequest, socket: Socket) => void;
type Arrival = {readonly upstream: number; readonly at: number; readonly received: ReceivedRequest};

/** A system in which the first host is cut off from all upstreams, and what has reached the upstreams. */
type CutSystem = {
	readonly system: LinkedSystem;
	/** Arrivals at all upstreams by the id of the request. */
	readonly arrivals: ReadonlyMap<string, readonly Arrival[]>;
	readonly send: (options?: Parameters<typeof buildRawRequest>[0]) => Promise<RawResponse>;
};

type CutSystemOptions = {
	readonly maxAttempts?: number;
	readonly upstreams?: number;
	readonly bounds?: Record<string, number>;
	readonly changed?: Partial<GatewayAdapter>;
};

async function startCutSystem(answer: Answer, {maxAttempts = 2, upstreams = 8, bounds = {retrySlack: 1000}, changed = {}}: CutSystemOptions = {}): Promise<CutSystem> {
	const arrivals = new Map<string, Arrival[]>();
	const system = await startLinkedSystem({
		domains, upstreams, bounds, changed,
		configuration: {
			routes: platformObjects.configuration(1).routes.map(route => ({
				...route, timeout_ms: deadlineMs, ...(route.kind === 'non_idempotent' ? {} : {max_attempts: maxAttempts}),
			})),
		},
	});
	for (const [index, upstream] of system.upstreams.entries()) {
		upstream.answer = (received, socket) => {
			if (received.target === '/health') {
				sendSignedResponse(received, socket);
				return;
			}

			const id = received.headers.get('request-id')!;
			arrivals.set(id, [...arrivals.get(id) ?? [], {upstream: index, at: performance.now(), received}]);
			answer(received, socket);
		};
	}

	const [cutHost] = system.hosts;
	await cutHost!.cut('reset');
	await sleep(settleMs);
	return {
		system, arrivals,
		send: async options => sendRawRequest(cutHost!.gateway.callers, buildRawRequest({deadlineMs, ...options})),
	};
}

async function sendMany({send}: CutSystem, count: number, options: Parameters<typeof buildRawRequest>[0] = {}): Promise<readonly RawResponse[]> {
	const calls: Array<Promise<RawResponse>> = [];
	for (let index = 0; index < count; index++) {
		calls.push(send(options));
		await sleep(30);
	}

	return Promise.all(calls);
}

const fail: Answer = (received, socket) => {
	sendSignedResponse(received, socket, 'failed', '500 Failed');
};

const refuse: Answer = (received, socket) => {
	sendSignedResponse(received, socket, 'full', '503 Full', 'Not-Executed: full\r\n');
};

describe.concurrent('a request of a host that is cut off', () => {
	test.each([1, 2, 3, 4])('is tried at as many upstreams as its route allows, each once, where all fail: %i', async maxAttempts => {
		const cut = await startCutSystem(fail, {maxAttempts});
		const responses = await sendMany(cut, 16);
		await cut.system.stop();
		expect(responses.map(({status, body}) => [status, body])).toEqual(responses.map(() => [500, 'failed']));
		for (const arrivals of cut.arrivals.values()) {
			expect(arrivals.length).toBe(maxAttempts);
			expect(new Set(arrivals.map(({upstream}) => upstream)).size).toBe(maxAttempts);
		}
	});

	test.each([2, 3])('is tried again at the one host that is left to help: %i attempts', async maxAttempts => {
		const cut = await startCutSystem(fail, {maxAttempts});
		await Promise.all(cut.system.hosts.slice(1, 3).map(async host => host.cut('reset')));
		await sleep(settleMs);
		await sendMany(cut, 12);
		await cut.system.stop();
		expect([...cut.arrivals.values()].map(({length}) => length)).toEqual([...cut.arrivals.values()].map(() => maxAttempts));
		expect(cut.arrivals.size).toBe(12);
	});

	test('is served where the first upstream fails it and the second does not', async () => {
		const seen = new Set<string>();
		const cut = await startCutSystem((received, socket) => {
			const id = received.headers.get('request-id')!;
			(seen.has(id) ? sendSignedResponse : fail)(received, socket);
			seen.add(id);
		});
		const responses = await sendMany(cut, 16);
		await cut.system.stop();
		expect(responses.map(({status}) => status)).toEqual(responses.map(() => 200));
	});

	test.each(['/read/x', '/ask/x', '/book/x'])('is sent no more often than one limit allows, over all hosts, where upstreams refuse it: %s', async target => {
		const cut = await startCutSystem(refuse);
		const responses = await sendMany(cut, 12, {target, method: target === '/book/x' ? 'POST' : 'GET'});
		await cut.system.stop();
		expect(Math.max(...[...cut.arrivals.values()].map(({length}) => length))).toBeLessThanOrEqual(maxSends);
		// Nothing ran, and the caller is told so.
		expect(responses.filter(({status}) => ![429, 503].includes(status)).map(({status, body}) => [status, body])).toEqual([]);
	});

	test('takes each repeat from the budget once', async () => {
		const cut = await startCutSystem(fail, {bounds: {retrySlack, retryRatio}, maxAttempts: 3});
		const count = 100;
		await sendMany(cut, count);
		await cut.system.stop();
		const repeats = [...cut.arrivals.values()].reduce((sum, {length}) => sum + length - 1, 0);
		expect(repeats).toBeLessThanOrEqual((count * retryRatio) + retrySlack);
		expect(repeats).toBeGreaterThan(0);
	});

	test('states what is left of its time to each upstream', async () => {
		const cut = await startCutSystem((received, socket) => {
			setTimeout(fail, 300, received, socket);
		}, {maxAttempts: 3});
		const sentAt = performance.now();
		await cut.send({id: 'timed'});
		await cut.system.stop();
		const arrivals = cut.arrivals.get('timed')!;
		expect(arrivals.length).toBe(3);
		for (const {at, received} of arrivals) {
			expect((at - sentAt) + Number(received.headers.get('deadline-ms'))).toBeLessThanOrEqual(deadlineMs + deadlineSlackMs);
		}

		const stated = arrivals.map(({received}) => Number(received.headers.get('deadline-ms')));
		expect(stated).toEqual(stated.toSorted((a, b) => b - a));
	});

	test.each(['/read/poison', '/book/poison', '/ask/poison'])('that crashes the upstreams that run it is refused after its second crash: %s', async target => {
		let crashes = 0;
		const cut = await startCutSystem((received, socket) => {
			if (received.target !== target) {
				sendSignedResponse(received, socket);
				return;
			}

			crashes++;
			const crashed = cut.arrivals.get(received.headers.get('request-id')!)!.at(-1)!.upstream;
			setImmediate(() => {
				cut.system.upstreams[crashed]!.stop();
				// The relays would accept connections in its place.
				void Promise.all(cut.system.hosts.map(async host => host.cut('reset', [crashed])));
			});
		});
		const responses: RawResponse[] = [];
		for (let index = 0; index < 5; index++) {
			responses.push(await cut.send({
				target, method: 'POST', body: 'p', deadlineMs: 1500,
			}));
			await sleep(reportWaitMs);
		}

		const sound = await cut.send();
		await cut.system.stop();
		expect(crashes).toBe(2);
		expect(responses.at(-1)!.status).toBe(503);
		expect(sound.status).toBe(200);
	});

	test.each(['/read/x', '/book/x'])('passes with a head as long as the configuration allows: %s', async target => {
		const cut = await startCutSystem(sendSignedResponse);
		const response = await cut.send({target, method: target === '/book/x' ? 'POST' : 'GET', headers: `X-Long: ${'a'.repeat(8192 - 260)}\r\n`});
		await cut.system.stop();
		expect(response.status).toBe(200);
	});
});

describe.concurrent('what hosts tell each other of attempts is not taken from callers', () => {
	const forged = [
		[
			'nothing left',
			'Hemlockpier-Spent: runs=2,sends=5,unsent=16\r\nHemlockpier-Limits: runs=2,sends=5,unsent=16\r\nHemlockpier-Tried: i-0,i-1,i-2\r\n',
		],
		['more than the route allows', 'Hemlockpier-Spent: runs=0,sends=0,unsent=0\r\nHemlockpier-Limits: runs=9,sends=99,unsent=99\r\n'],
	] as const;
	test.each(forged.flatMap(([name, headers]) => [0, 1].map(host => [name, host, headers] as const)))('%s, at host %i', async (_name, host, headers) => {
		const cut = await startCutSystem(fail);
		const responses = await Promise.all(Array.from({length: 6}, async (_, index) => sendRawRequest(cut.system.hosts[host]!.gateway.callers, buildRawRequest({id: `forged-${index}`, deadlineMs, headers}))));
		await cut.system.stop();
		expect(responses.map(({status}) => status)).toEqual(responses.map(() => 500));
		for (const arrivals of cut.arrivals.values()) {
			expect(arrivals.length).toBe(2);
			for (const {received} of arrivals) {
				expect([...received.headers.keys()].filter(name => name.startsWith('hemlockpier-'))).toEqual([]);
			}
		}

		expect(responses.flatMap(({headers: received}) => [...received.keys()]).filter(name => name.startsWith('hemlockpier-'))).toEqual([]);
	});
});

describe.concurrent('beside hosts of an earlier build', () => {
	test('that state nothing of attempts, the bound holds', async () => {
		const cut = await startCutSystem(fail, {
			changed: {
				encodeRelayedRequest(request, options) {
					const headers = adapter.encodeRelayedRequest(request, options);
					return headers.filter((_, index) => !headers[index - (index % 2)]!.startsWith('hemlockpier-'));
				},
			},
		});
		const responses = await sendMany(cut, 16);
		await cut.system.stop();
		expect(Math.max(...[...cut.arrivals.values()].map(({length}) => length))).toBeLessThanOrEqual(2);
		expect(responses.flatMap(({headers}) => [...headers.keys()]).filter(name => name.startsWith('hemlockpier-'))).toEqual([]);
	});
});
