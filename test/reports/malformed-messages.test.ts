import {createSocket} from 'node:dgram';
import fc from 'fast-check';
import {
	afterAll, beforeAll, describe, expect, test, vi,
} from 'vitest';
import {log} from '../../src/observe/log.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {recordUncaughtErrors} from '../support/record-uncaught-errors.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const requests = 16;

let store: ObjectStoreServer;
let upstreams: readonly UpstreamServer[];
let gateways: readonly TestGateway[];
let uncaught: ReturnType<typeof recordUncaughtErrors>;

beforeAll(async () => {
	store = await createObjectStoreServer();
	upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer()]);
	store.put('config', 'main', platformObjects.configuration(5));
	store.put('servers', 'i-0', platformObjects.upstream(upstreams[0]!.address));
	const settings = {placement: {claims: true}};
	gateways = [await startTestGateway(store.address, settings), await startTestGateway(store.address, settings)];
	await waitUntilReady(...gateways);
	uncaught = recordUncaughtErrors();
});

afterAll(async () => {
	await Promise.all(gateways.map(async gateway => gateway.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}

	uncaught.stop();
});

const status = {
	host: 'odd', domain: 'domain-a', peers: '127.0.0.1:9', reports: '127.0.0.1:9', linkMbps: 1000, everyMs: 100, isStoreLost: false, lostServices: [],
	epoch: 0, changes: {}, contentVersions: {}, weightsAgeMs: 0, weightAges: [],
};
const news = {
	loads: [], loading: [], weights: [], crashes: [], clearedParts: [], condemnedParts: [], limits: [], versions: [], paces: [],
};
const report = {...status, ...news};
const sum = {source: {host: 'odd', domain: 'domain-a', everyMs: 100}, news, members: [{status, ageMs: 0}]};

/** Values that a field may have in a message of a faulty or newer host. */
const odd = fc.oneof(
	fc.constantFrom(null, 5, -1, 1e308, 'odd', '', '127.0.0.1:70000', [], {}, [null], [[]], [{}], [5], {odd: null}),
	fc.anything({maxDepth: 2}),
);

/** Copies of an object in which one field is odd. */
const vary = <T extends object>(sound: T): fc.Arbitrary<object> => fc.record({
	field: fc.constantFrom(...Object.keys(sound)), value: odd,
}).map(({field, value}) => ({...sound, [field]: value}));

/** Ages of weights of a faulty or newer host. */
const oddAges = fc.oneof(fc.array(odd, {maxLength: 3}), fc.array(fc.tuple(odd, odd, odd), {minLength: 1, maxLength: 3}), fc.array(fc.tuple(fc.constant('m'), fc.nat(9), odd), {minLength: 1, maxLength: 3}));

const message = fc.oneof(
	odd,
	oddAges.chain(weightAges => fc.constantFrom({report: {...report, weightAges}, isForSum: true}, {sums: [{...sum, members: [{status: {...status, weightAges}, ageMs: 0}]}], isToPassOn: true})),
	vary({
		report, isForSum: true, sums: [sum], streams: [], kept: [], isToPassOn: true,
	}),
	vary(report).map(varied => ({report: varied, isForSum: true})),
	vary(news).chain(varied => fc.constantFrom({report: {...report, ...varied}, isForSum: true}, {sums: [{...sum, news: varied}], isToPassOn: true})),
	vary(status).map(varied => ({sums: [{...sum, members: [{status: varied, ageMs: 0}]}], isToPassOn: true})),
	vary(sum).map(varied => ({sums: [varied], isToPassOn: true})),
	vary({
		store: 'kept', peers: '127.0.0.1:9', since: 0, news: {
			epoch: 1, next: 1, hasGap: false, clockMs: 1, events: [],
		},
	}).map(varied => ({kept: [varied], isToPassOn: true})),
	vary({service: 'app', version: 'v1', ids: ['a']}).map(varied => ({streams: [varied]})),
	vary({
		h: 'odd', m: 1, c: [[1, 'i-0', 0, 100, 100]], n: [[2, 'i-0', 0, 100, 100]], a: [1], e: [2],
	}).map(varied => ({claims: varied})),
	fc.tuple(odd, odd, odd, odd, odd).map(claim => ({claims: {h: 'odd', m: 1, c: [claim]}})),
	vary({h: 'odd', q: [[1, 0, 0, 0, 0, 0]]}).map(varied => ({quotes: varied})),
	fc.tuple(odd, odd, odd, odd, odd, odd).map(quote => ({quotes: {h: 'odd', q: [quote]}})),
);

async function sendAll(messages: readonly string[]): Promise<void> {
	const socket = createSocket('udp4');
	for (const text of messages) {
		for (const {reports} of gateways) {
			const [host, port] = reports.split(':');
			await new Promise(resolve => {
				socket.send(text, Number(port), host, resolve);
			});
		}
	}

	socket.close();
}

describe('malformed messages to hosts', () => {
	const texts = fc.sample(message, {seed: 3703, numRuns: 1500}).map(value => JSON.stringify(value) ?? 'undefined');

	test.each([
		['bytes that are no JSON', ['', '{', 'null', '[]', '"', '\u0000\u0001', '['.repeat(5000), '{"report":'.repeat(2000)]],
		['odd fields', texts],
	])('end nothing, and reports go on: %s', async (_, messages) => {
		const logged = vi.spyOn(log, 'error');
		await sendAll(messages);
		const responses = await Promise.all(Array.from({length: requests}, async (_value, index) =>
			sendRawRequest(gateways[index % gateways.length]!.callers, buildRawRequest({method: 'POST', target: '/book/x', body: 'b'}))));
		expect(responses.filter(({status: code}) => code === 200)).toHaveLength(requests);
		expect(uncaught.errors).toEqual([]);
		expect(logged.mock.calls).toEqual([]);
	}, 30_000);

	test('delay no change of the stored objects', async () => {
		await sendAll(texts);
		store.put('servers', 'i-1', platformObjects.upstream(upstreams[1]!.address));
		for (const {callers} of gateways) {
			await waitUntil('the new upstream', async () => {
				const before = upstreams[1]!.receivedRequests.length;
				await sendRawRequest(callers, buildRawRequest());
				return upstreams[1]!.receivedRequests.length > before;
			}, 8000);
		}

		expect(uncaught.errors).toEqual([]);
	}, 30_000);
});
