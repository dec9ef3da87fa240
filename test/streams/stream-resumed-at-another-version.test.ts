// Guards against docs/incidents/stream-resumed-at-another-version.md and docs/incidents/streams-after-the-death-of-all-hosts.md.
import {type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type ReceivedRequest, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {type RawResponse, sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {
	type BegunStream, beginStream, eventCount, listVersions, type Version,
} from '../support/versioned-streams.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const firstEvents = 4;
const streams = 6;
/** Time in which hosts hear of each other, and of streams. */
const settleMs = 1300;
const noticeMs = 700;

type Upstream = {readonly id: string; readonly server: UpstreamServer; version: Version; breaksAt: number | undefined};
type System = Awaited<ReturnType<typeof startSystem>>;

const toChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const toEvents = (from: number, to: number, version: Version): string =>
	Array.from({length: to - from}, (_, index) => `id: ${from + index}\ndata: ${version}\n\n`).join('');

/** Streams all events with its version, or the first ones and then nothing more. */
function respond(upstream: Upstream, {headers}: ReceivedRequest, socket: Socket): void {
	const after = headers.get('last-event-id');
	const from = after === undefined ? 0 : Number(after) + 1;
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	if (after === undefined) {
		socket.write(toChunk(toEvents(0, firstEvents, upstream.version)));
		if (upstream.breaksAt !== undefined) {
			setTimeout(() => socket.resetAndDestroy(), upstream.breaksAt);
		}

		return;
	}

	socket.write(`${toChunk(toEvents(from, eventCount, upstream.version))}0\r\n\r\n`);
}

async function startSystem(domains: readonly string[], versions: readonly Version[]) {
	const store = await createObjectStoreServer();
	const upstreams: Upstream[] = [];
	const gateways: TestGateway[] = [];
	store.put('config', 'main', platformObjects.configuration(1));

	const register = ({id, server, version}: Upstream, changed: Record<string, unknown> = {}): void => {
		store.put('servers', id, platformObjects.upstream(server.address, {
			version, slots: 32, born: 1_700_000_000_000, ...changed,
		}));
	};

	const addUpstream = async (version: Version): Promise<Upstream> => {
		const upstream: Upstream = {
			id: `i-${upstreams.length}`, server: await createUpstreamServer(), version, breaksAt: undefined,
		};
		upstream.server.answer = (received, socket) => {
			respond(upstream, received, socket);
		};

		upstreams.push(upstream);
		register(upstream);
		return upstream;
	};

	const addHost = async (domain: string): Promise<TestGateway> => {
		const gateway = await startTestGateway(store.address, {domain, bounds: {retrySlack: 1000}});
		gateways.push(gateway);
		await waitUntilReady(gateway);
		return gateway;
	};

	for (const version of versions) {
		await addUpstream(version);
	}

	await Promise.all(domains.map(async domain => addHost(domain)));
	await sleep(settleMs);
	return {
		store, upstreams, gateways, register, addUpstream, addHost,
		async stop() {
			await Promise.all(gateways.map(async gateway => gateway.stop()));
			store.stop();
			for (const {server} of upstreams) {
				server.stop();
			}
		},
	};
}

const begin = async ({callers}: TestGateway, id: string, headers = ''): Promise<BegunStream> => beginStream(callers, id, headers);

/** Takes a stream up after its first events. */
async function resume({callers}: TestGateway, id: string, named: string | undefined): Promise<RawResponse> {
	return sendRawRequest(callers, buildRawRequest({
		target: `/ask/${id}`, id, deadlineMs: 3000, headers: `Last-Event-Id: ${firstEvents - 1}\r\n${named === undefined ? '' : `Resumes: ${named}\r\n`}`,
	}));
}

/** What the case expects of the streams that are taken up. */
type Expected = 'goes on' | 'is refused';

/** One case: what happens between the beginning of the streams and their being taken up. */
type Case = {
	readonly domains: readonly string[];
	readonly versions: readonly Version[];
	/** Returns the host that takes the streams up. */
	readonly change: (system: System) => Promise<TestGateway>;
	/** What the caller names, given the stream. */
	readonly name: (stream: BegunStream) => string | undefined;
	readonly expected: (stream: BegunStream) => Expected;
};

const twoDomains = ['domain-a', 'domain-a', 'domain-b', 'domain-b'];
const both: readonly Version[] = ['v1', 'v2', 'v1', 'v2'];

const defaults: Case = {
	domains: twoDomains, versions: both, change: async ({gateways}) => gateways[1]!, name: ({id}) => id, expected: () => 'goes on',
};

/** Kills the host that began the streams, and others with it. */
const killFirst = (count: number) => async ({gateways}: System): Promise<TestGateway> => {
	await Promise.all(gateways.splice(0, count).map(async gateway => gateway.stop()));
	return gateways.at(-1)!;
};

/** Kills all hosts, lets `meanwhile` happen, and starts others. */
const restartAll = (meanwhile: (system: System) => unknown) => async (system: System): Promise<TestGateway> => {
	const {gateways, addHost} = system;
	await Promise.all(gateways.splice(0).map(async gateway => gateway.stop()));
	await meanwhile(system);
	const [host] = await Promise.all(['domain-a', 'domain-b'].map(async domain => addHost(domain)));
	await sleep(300);
	return host!;
};

const removeFirstVersion = ({upstreams, store}: System): void => {
	for (const {id} of upstreams.filter(({version}) => version === 'v1')) {
		store.remove('servers', id);
	}
};

const cases: ReadonlyArray<readonly [string, Partial<Case>]> = [
	['at the same host', {change: async ({gateways}) => gateways[0]!}],
	['at another host of the domain', {}],
	['at a host of another domain', {change: async ({gateways}) => gateways[2]!}],
	['at a host that started a moment ago', {change: async ({addHost}) => addHost('domain-b')}],
	['while the host that began them stops', {
		async change({gateways}) {
			void gateways.shift()!.drain();
			return gateways[0]!;
		},
	}],
	['after the host that began them was killed', {change: killFirst(1)}],
	['after it was killed with 60 % of all', {domains: ['domain-a', 'domain-a', 'domain-a', 'domain-b', 'domain-b'], change: killFirst(3)}],
	['at a host that started after the first was killed', {
		async change(system) {
			await killFirst(1)(system);
			return system.addHost('domain-a');
		},
	}],
	['with one upstream of each version', {versions: ['v1', 'v2']}],
	['with versions that came after they began', {
		versions: ['v1'],
		async change({addUpstream, gateways}) {
			await addUpstream('v2');
			await addUpstream('v2');
			await sleep(noticeMs);
			return gateways[2]!;
		},
	}],
	['with versions that came after they began, at a host that started since', {
		versions: ['v1', 'v1'],
		async change({addUpstream, addHost, gateways}) {
			await addUpstream('v2');
			await sleep(noticeMs);
			await gateways.shift()!.stop();
			return addHost('domain-b');
		},
	}],
	['with upstreams of the version leaving', {
		async change({upstreams, register, gateways}) {
			for (const upstream of upstreams.filter(({version}) => version === 'v1')) {
				register(upstream, {state: 'draining'});
			}

			await sleep(noticeMs);
			return gateways[1]!;
		},
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['with no upstream of the version left', {
		async change({upstreams, store, gateways}) {
			for (const {id} of upstreams.filter(({version}) => version === 'v1')) {
				store.remove('servers', id);
			}

			await sleep(noticeMs);
			return gateways[1]!;
		},
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['with upstreams whose ids and addresses now belong to the other version', {
		async change({upstreams, register, gateways}) {
			for (const upstream of upstreams.filter(({version}) => version === 'v1')) {
				upstream.version = 'v2';
				register(upstream, {born: 1_700_000_005_000});
			}

			await sleep(noticeMs);
			return gateways[1]!;
		},
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['after all hosts were killed', {change: restartAll(() => undefined)}],
	['after all hosts were killed, and again', {
		async change(system) {
			await restartAll(() => undefined)(system);
			await sleep(noticeMs);
			return restartAll(() => undefined)(system);
		},
	}],
	['after all hosts were killed and the version left meanwhile', {
		change: restartAll(removeFirstVersion),
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['after the version left and then all hosts were killed', {
		async change(system) {
			removeFirstVersion(system);
			await sleep(noticeMs);
			return restartAll(() => undefined)(system);
		},
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['after all hosts were killed, the version left and the store was down for a while', {
		change: restartAll(async system => {
			removeFirstVersion(system);
			system.store.faults.isUnavailable = true;
			setTimeout(() => {
				system.store.faults.isUnavailable = false;
			}, 1000);
		}),
		expected: ({version}) => version === 'v1' ? 'is refused' : 'goes on',
	}],
	['with one version, replaced by another one while all hosts were killed', {
		versions: ['v1', 'v1'],
		change: restartAll(async system => {
			removeFirstVersion(system);
			await system.addUpstream('v2');
		}),
		expected: () => 'is refused',
	}],
	['with one version, beside which another one came while all hosts were killed', {
		versions: ['v1', 'v1'],
		change: restartAll(async ({addUpstream}) => addUpstream('v2')),
	}],
	['with one version, after all hosts were killed', {versions: ['v1', 'v1'], change: restartAll(() => undefined)}],
	['naming nothing', {name: () => undefined, expected: () => 'is refused'}],
	['naming an attempt that no host knows', {name: () => 'unknown-attempt', expected: () => 'is refused'}],
	['with one version, naming nothing', {versions: ['v1', 'v1'], name: () => undefined}],
	['with one version, naming an attempt that no host knows', {versions: ['v1', 'v1'], name: () => 'unknown-attempt'}],
];

describe.concurrent('streams of a service with several software versions, taken up by their callers', () => {
	test.each(cases)('go on at the version that began them or are refused at once: %s', async (_name, changed) => {
		const {domains, versions, change, name, expected} = {...defaults, ...changed};
		const system = await startSystem(domains, versions);
		const begun = await Promise.all(Array.from({length: streams}, async (_, index) => begin(system.gateways[0]!, `first-${index}`)));
		await sleep(noticeMs);
		const host = await change(system);
		const resumed = await Promise.all(begun.map(async (stream, index) => ({stream, response: await resume(host, `second-${index}`, name(stream))})));
		await system.stop();
		for (const {stream, response} of resumed) {
			expect(listVersions(response.text).filter(version => version !== stream.version)).toEqual([]);
			const isRefused = expected(stream) === 'is refused';
			expect(response.status).toBe(isRefused ? 503 : 200);
			expect(listVersions(response.text)).toHaveLength(isRefused ? 0 : eventCount - firstEvents);
		}
	});

	test('go on a third time at the version that brought the first event', async () => {
		const system = await startSystem(twoDomains, both);
		const begun = await Promise.all(Array.from({length: streams}, async (_, index) => begin(system.gateways[0]!, `first-${index}`)));
		await sleep(noticeMs);
		await Promise.all(begun.map(async ({id}, index) => resume(system.gateways[1]!, `second-${index}`, id)));
		const third = await Promise.all(begun.map(async ({id}, index) => resume(system.gateways[2]!, `third-${index}`, id)));
		await system.stop();
		expect(third.flatMap(({text}, index) => listVersions(text).filter(version => version !== begun[index]!.version))).toEqual([]);
		expect(third.map(({status}) => status)).toEqual(begun.map(() => 200));
	});

	test('begin anywhere where no event has reached the caller', async () => {
		const system = await startSystem(twoDomains, both);
		const responses = await Promise.all(Array.from({length: streams}, async (_, index) => begin(system.gateways[1]!, `second-${index}`, `Resumes: never-${index}\r\n`)));
		await system.stop();
		expect(responses.every(({version}) => version !== undefined)).toBe(true);
	});
});

describe.concurrent('many streams that have just begun when all hosts are stopped as planned and replaced', () => {
	const manyStreams = 24;

	/** Stops all hosts and starts two others. */
	const replacements: ReadonlyArray<readonly [string, (system: System) => Promise<readonly TestGateway[]>]> = [
		['once the old ones have ended', async ({gateways, addHost}) => {
			await Promise.all(gateways.splice(0).map(async gateway => gateway.drain()));
			return Promise.all(['domain-a', 'domain-b'].map(async domain => addHost(domain)));
		}],
		['while the old ones end', async ({gateways, addHost}) => {
			const drains = gateways.splice(0).map(async gateway => gateway.drain());
			const hosts = await Promise.all(['domain-a', 'domain-b'].map(async domain => addHost(domain)));
			await Promise.all(drains);
			return hosts;
		}],
	];

	test.each(replacements)('all go on at the version that began them: %s', async (_name, replace) => {
		const system = await startSystem(['domain-a', 'domain-b'], both);
		const old = [...system.gateways];
		const begun = await Promise.all(Array.from({length: manyStreams}, async (_, index) => begin(old[index % old.length]!, `first-${index}`)));
		const hosts = await replace(system);
		const resumed = await Promise.all(begun.map(async (stream, index) => ({stream, response: await resume(hosts[index % hosts.length]!, `second-${index}`, stream.id)})));
		await system.stop();
		expect(resumed.flatMap(({stream, response}) => listVersions(response.text).filter(version => version !== stream.version))).toEqual([]);
		expect(resumed.filter(({response}) => response.status === 200)).toHaveLength(manyStreams);
	});
});

describe.concurrent('streams of a service with several software versions, that break off at their upstream', () => {
	test.each([
		['several upstreams of each version', ['v1', 'v2', 'v1', 'v2', 'v2', 'v1'] as const, 'whole'],
		['one upstream of each version', ['v1', 'v2'] as const, 'broken off'],
		['one version', ['v1', 'v1'] as const, 'whole'],
	])('go on within the same response at the version that began them: %s', async (_name, versions, expected) => {
		const system = await startSystem(['domain-a'], versions);
		for (const upstream of system.upstreams) {
			upstream.breaksAt = 50;
		}

		if (expected === 'broken off') {
			// An upstream that has broken off is tried again as the last one: it must not be there then.
			for (const upstream of system.upstreams) {
				const {server} = upstream;
				server.answer = (received, socket) => {
					respond(upstream, received, socket);
					setTimeout(server.stop, 40);
				};
			}
		}

		const responses = [];
		for (let index = 0; index < (expected === 'whole' ? streams : 1); index++) {
			responses.push(await sendRawRequest(system.gateways[0]!.callers, buildRawRequest({target: '/ask/x', id: `whole-${index}`, deadlineMs: 3000})));
		}

		await system.stop();
		for (const {text, isWhole} of responses) {
			expect(new Set(listVersions(text)).size).toBe(1);
			expect(isWhole).toBe(expected === 'whole');
			expect(listVersions(text)).toHaveLength(expected === 'whole' ? eventCount : firstEvents);
		}
	});
});
