// Guards against docs/incidents/streams-after-a-returned-store.md.
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createRelease} from '../support/create-release.js';
import {platformObjects} from '../support/platform-objects.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {
	beginStream, listVersions, takeUpStream, type BegunStream,
} from '../support/versioned-streams.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const domains = ['domain-a', 'domain-a', 'domain-b'];
const streamsPerHost = 6;
/** Time in which hosts hear of each other, and of versions. */
const settleMs = 1300;
/** Time in which hosts have told and stored the streams that they have begun. */
const storedMs = 700;
/** The upstreams write their entries again this long after the store has returned. */
const registerMs = 1800;
/** A caller comes back this often, and for so long. */
const returnEveryMs = 400;
const returns = 10;

let store: ObjectStoreServer;
let release: ReturnType<typeof createRelease>;
let hosts: TestGateway[];

const start = async (): Promise<void> => {
	hosts = await Promise.all(domains.map(async domain => startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}})));
	await waitUntilReady(...hosts);
};

const kill = async (count: number): Promise<void> => {
	await Promise.all(hosts.splice(0, count).map(async host => host.stop()));
};

beforeEach(async () => {
	store = await createObjectStoreServer();
	release = createRelease();
	store.put('config', 'main', platformObjects.configuration(1));
	await release.prepare(store);
	await start();
	await sleep(settleMs);
});

afterEach(async () => {
	await kill(hosts.length);
	store.stop();
	release.stop();
});

/** The store returns from a copy; the upstreams write again what it lost. */
function returnFrom(copy: ReturnType<ObjectStoreServer['copy']>): void {
	store.restore(copy);
	setTimeout(() => {
		release.register(store);
	}, registerMs);
}

const begin = async (): Promise<readonly BegunStream[]> => Promise.all(hosts.flatMap(({callers}, host) =>
	Array.from({length: streamsPerHost}, async (_, index) => beginStream(callers, `first-${host}-${index}`))));

/** Takes a stream up at a host until it goes on; returns the versions of its further events, none where it was given up, and how often it was refused. */
async function takeUp(stream: BegunStream, index: number): Promise<{readonly versions: readonly string[]; readonly refusals: number}> {
	for (let refusals = 0; refusals < returns; refusals++) {
		const host = hosts[index % hosts.length];
		const response = host && await takeUpStream(host.callers, stream, index + (1000 * refusals));
		if (response?.status === 200) {
			return {versions: listVersions(response.text), refusals};
		}

		await sleep(returnEveryMs);
	}

	return {versions: [], refusals: returns};
}

/** What is expected of the streams: none ever joins two versions. */
type Expected = 'all go on' | 'all go on at once' | 'none is joined';

/** One case; times are in milliseconds. */
type Case = {
	/** Whether upstreams of a second version join, and when: before or after the copy from which the store returns. */
	readonly release: 'none' | 'before the copy' | 'after the copy';
	/** What happens from the time that all streams have begun until they are taken up. */
	readonly change: (copy: ReturnType<ObjectStoreServer['copy']>) => Promise<unknown>;
	readonly expected: Expected;
};

/** The store returns, and after a time hosts are killed, and others started. */
const returnThenKill = (aliveMs: number, killed = domains.length, copies = 1): Case['change'] => async copy => {
	for (let index = 0; index < copies; index++) {
		returnFrom(copy);
		await sleep(aliveMs);
	}

	await kill(killed);
	if (hosts.length === 0) {
		await start();
	}
};

const cases: ReadonlyArray<readonly [string, Case]> = [
	['all hosts are killed half a second after the return', {release: 'after the copy', change: returnThenKill(500), expected: 'all go on'}],
	['all hosts are killed three seconds after the return', {release: 'after the copy', change: returnThenKill(3000), expected: 'all go on'}],
	['all hosts but one are killed half a second after the return', {release: 'after the copy', change: returnThenKill(500, 2), expected: 'all go on'}],
	['all hosts are killed right after the return', {release: 'after the copy', change: returnThenKill(0), expected: 'none is joined'}],
	['all hosts are killed right after the return, from a copy of the release', {release: 'before the copy', change: returnThenKill(0), expected: 'none is joined'}],
	['all hosts are killed half a second after the return, from a copy of the release', {release: 'before the copy', change: returnThenKill(500), expected: 'all go on'}],
	['all hosts are killed after two returns', {release: 'after the copy', change: returnThenKill(500, domains.length, 2), expected: 'all go on'}],
	['all hosts are killed before the store is away', {
		release: 'after the copy',
		async change(copy) {
			await kill(domains.length);
			await start();
			returnFrom(copy);
			await sleep(500);
		},
		expected: 'all go on',
	}],
	['all hosts are killed while the store is away', {
		release: 'after the copy',
		async change(copy) {
			store.faults.isUnavailable = true;
			await kill(domains.length);
			returnFrom(copy);
			store.faults.isUnavailable = false;
			await start();
		},
		expected: 'none is joined',
	}],
	['with one version, all hosts are killed half a second after the return', {release: 'none', change: returnThenKill(500), expected: 'all go on at once'}],
	['with one version, all hosts are killed right after the return', {release: 'none', change: returnThenKill(0), expected: 'all go on'}],
	['with one version, all hosts are killed long after the return', {
		release: 'none',
		async change(copy) {
			await returnThenKill(0)(copy);
			await sleep(5000);
			await kill(domains.length);
			await start();
		},
		expected: 'all go on at once',
	}],
];

describe('streams that are taken up after the store has returned from an older copy', () => {
	test.each(cases)('go on at the version that began them: %s', async (_name, {release: when, change, expected}) => {
		const before = store.copy();
		if (when !== 'none') {
			await release.releases.added(store);
			await sleep(settleMs);
		}

		const copy = when === 'before the copy' ? store.copy() : before;
		const begun = await begin();
		await sleep(storedMs);
		await change(copy);
		const taken = await Promise.all(begun.map(async (stream, index) => ({stream, ...await takeUp(stream, index)})));
		expect(taken.flatMap(({stream, versions}) => versions.filter(version => version !== stream.version))).toEqual([]);
		if (expected !== 'none is joined') {
			expect(taken.filter(({versions}) => versions.length > 0)).toHaveLength(begun.length);
		}

		if (expected === 'all go on at once') {
			expect(taken.filter(({refusals}) => refusals > 0)).toEqual([]);
		}
	});
});
