// Guards against docs/incidents/upstreams-that-start-again-unlisted.md.
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createRestartingUpstream, type RestartingUpstream} from '../support/create-restarting-upstream.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest, type RawResponse} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {beginStream, listVersions, takeUpStream} from '../support/versioned-streams.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const domains = ['domain-a', 'domain-b'];
const upstreamIds = ['i-0', 'i-1', 'i-2'];
const streamsPerHost = 9;
/** Time in which hosts hear of each other, and of versions. */
const settleMs = 1300;
/** The store has been silent for this long when upstreams end. */
const silentMs = 300;
const downMs = 300;
/** Time in which a stream has begun, or has gone on. */
const turnMs = 500;
/** The hosts have not heard from the store for longer than they count as in step with it. */
const outOfStepMs = 2600;

let store: ObjectStoreServer;
let upstreams: RestartingUpstream[];
let hosts: TestGateway[];

const startSystem = async (says: boolean): Promise<void> => {
	upstreams = await Promise.all(upstreamIds.map(async id => createRestartingUpstream(id, says)));
	for (const upstream of upstreams) {
		upstream.register(store);
	}

	hosts = await Promise.all(domains.map(async domain => startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}})));
	await waitUntilReady(...hosts);
	await sleep(settleMs);
};

beforeEach(async () => {
	store = await createObjectStoreServer();
	store.put('config', 'main', platformObjects.configuration(1));
});

afterEach(async () => {
	await Promise.all(hosts.map(async host => host.stop()));
	store.stop();
	for (const upstream of upstreams) {
		upstream.stop();
	}
});

/** Sends streams to all hosts; each has its first events, and goes on when its upstream breaks off. */
const begin = (prefix: string): ReadonlyArray<Promise<RawResponse>> => hosts.flatMap(({callers}, host) => Array.from({length: streamsPerHost}, async (_, index) => {
	const id = `${prefix}-${host}-${index}`;
	return sendRawRequest(callers, buildRawRequest({target: `/ask/${id}`, id, deadlineMs: 4500}));
}));

/** Ends upstreams one after the other, each of which starts again with a second version; the list of the store shows it or not. */
const restartInTurn = async (count: number, isListed: boolean): Promise<void> => {
	for (const upstream of upstreams.slice(0, count)) {
		await upstream.restart('v2', downMs);
		if (isListed) {
			upstream.register(store);
		}

		await sleep(turnMs);
	}
};

const silence = async (): Promise<void> => {
	store.faults.isUnresponsive = true;
	await sleep(silentMs);
};

/** Returns the versions of a stream's events; more than one is a fault. */
const toVersions = ({body}: RawResponse): readonly string[] => [...new Set(listVersions(body))];
const countMixed = (responses: readonly RawResponse[]): number => responses.filter(response => toVersions(response).length > 1).length;
const countWhole = (responses: readonly RawResponse[]): number => responses.filter(({status, isWhole}) => status === 200 && isWhole).length;

describe('streams while upstreams start again with another software version', () => {
	test.each([
		['the store is silent, one has not started again', true, 2, true],
		['the store is silent, all have started again', true, 3, false],
		['the store answers, one has not started again', false, 2, true],
	])('go on only at the version that began them: %s', async (_name, isSilent, restarted, allGoOn) => {
		await startSystem(true);
		if (isSilent) {
			await silence();
		}

		const streams = begin('s');
		await sleep(turnMs);
		await restartInTurn(restarted, !isSilent);
		upstreams.at(-1)!.breakOff();
		const responses = await Promise.all(streams);
		expect(countMixed(responses)).toBe(0);
		if (allGoOn) {
			expect(countWhole(responses)).toBe(responses.length);
		}
	});

	test('are taken up by their callers only at the version that began them, at any host', async () => {
		await startSystem(true);
		await silence();
		const begun = await Promise.all(hosts.flatMap(({callers}, host) => Array.from({length: streamsPerHost}, async (_, index) => beginStream(callers, `t-${host}-${index}`))));
		await restartInTurn(2, false);
		const responses = await Promise.all(begun.map(async (stream, index) => takeUpStream(hosts[(index + 1) % hosts.length]!.callers, stream, index)));
		expect(begun.map(({version}) => version)).not.toContain('v2');
		expect(responses.filter(response => listVersions(response.text).includes('v2'))).toEqual([]);
		expect(countWhole(responses)).toBe(begun.length);
	});

	test('that began at a start which the list does not show go on only there, and at its version once it is listed', async () => {
		await startSystem(true);
		await silence();
		await sleep(outOfStepMs);
		await upstreams[0]!.restart('v2', downMs);
		const streams = begin('u');
		await sleep(turnMs);
		upstreams[0]!.breakOff();
		await sleep(turnMs);
		await upstreams[1]!.restart('v2', downMs);
		const responses = await Promise.all(streams);
		expect(countMixed(responses)).toBe(0);
		expect(responses.filter(response => toVersions(response).includes('v2') && response.isWhole).length).toBeGreaterThan(0);
		store.faults.isUnresponsive = false;
		for (const upstream of upstreams) {
			upstream.register(store);
		}

		const begun = await beginStream(hosts[0]!.callers, 'after');
		expect(['v1', 'v2']).toContain(begun.version);
	});

	test('go on at upstreams that break off and do not say when they started, while the store answers', async () => {
		await startSystem(false);
		const streams = begin('n');
		await sleep(turnMs);
		for (const upstream of upstreams) {
			upstream.breakOff();
			await sleep(turnMs);
		}

		const responses = await Promise.all(streams);
		expect(countWhole(responses)).toBe(responses.length);
	});

	test('go on elsewhere than at upstreams that start again and do not say when, while the store is silent', async () => {
		await startSystem(false);
		await silence();
		const streams = begin('e');
		await sleep(turnMs);
		await restartInTurn(2, false);
		upstreams.at(-1)!.breakOff();
		const responses = await Promise.all(streams);
		expect(countMixed(responses)).toBe(0);
		expect(countWhole(responses)).toBeGreaterThan(0);
	});
});
