import process from 'node:process';
import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {createStreamIndex} from '../../src/decide/streams/create-stream-index.js';
import {createVersionHistory} from '../../src/decide/streams/create-version-history.js';
import {type KnownHost} from '../../src/reports/known-host.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {type StreamArchive} from '../../src/streams/stream-archive.js';
import {type StreamSearch} from '../../src/streams/stream-search.js';
import {type TakenUpStream} from '../../src/streams/taken-up-stream.js';
import {type VersionKnowledge} from '../../src/streams/version-knowledge.js';
import {createStreamVersions} from '../../src/streams/create-stream-versions.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

/** A store that tells nothing. */
const emptyArchive: StreamArchive = {
	add: () => undefined, waitUntilRead: async () => true, lookUp: async () => undefined, hasJustRead: () => true, isFromBefore: () => false, findOldest: () => undefined, findOldestListed: () => undefined, recordListed: () => undefined, doubtMs: () => 0, hasUnwritten: () => false, flush: async () => undefined, stop: () => undefined,
};

/** Hosts of which nothing is hidden. */
const knowsAll: VersionKnowledge = {
	isInStep: () => true, confirm: async () => true, listHeard: () => [], canTellOthers: () => true, isInReach: () => true, tick: () => undefined,
};

const reportMs = 100;
/** Upstreams of a version that take new work, and those of them that are reached. */
const allReached = {upstreams: 2, reachable: 2};
const waitMs = 5000;
const toTakenUp = (begunBy: string | undefined): TakenUpStream => ({
	service: 's', begunBy, requestId: 'r', route: 'draft', waitMs, endsAt: Date.now() + 1000,
});
const toUpstream = (softwareVersion: string, index: number): Upstream => ({
	id: `i-${index}`, service: 's', address: '', domain: 'd', slots: 1, isLeaving: false, startedAt: index, softwareVersion, weights: new Map(),
});

/** Hosts that tell and ask each other over links that lose messages, in the test's process. */
function startHosts(count: number, lossShare: number, random: () => number) {
	const hosts = new Map<string, ReturnType<typeof createStreamVersions>>();
	let upstreams: readonly Upstream[] = [];
	let messages = 0;
	const toKnown = (host: string): KnownHost => ({host, peers: host}) as KnownHost;
	const listOthers = (self: string): readonly KnownHost[] => [...hosts.keys()].filter(host => host !== self).map(host => toKnown(host));

	const start = (name: string): void => {
		const call = (async (address: string, _method: string, search: StreamSearch) => {
			messages++;
			const peer = hosts.get(address);
			if (!peer || random() < lossShare) {
				throw new Error('unreachable');
			}

			return peer.answer(search);
		}) as unknown as PeerRpc;
		const versions = createStreamVersions({
			openArchive: () => emptyArchive, knowledge: knowsAll,
			listUpstreams: () => upstreams, getReach: () => allReached, listInReach: () => listOthers(name), listReachable: () => listOthers(name), alive: () => listOthers(name), call, now: Date.now,
			tell({host}, groups) {
				messages++;
				if (random() >= lossShare) {
					hosts.get(host)?.receive(groups);
				}
			},
		});
		hosts.set(name, versions);
		versions.recordUpstreams(upstreams);
	};

	for (let index = 0; index < count; index++) {
		start(`h-${index}`);
	}

	return {
		hosts, start,
		countMessages: () => messages,
		setUpstreams(versions: readonly string[]) {
			upstreams = versions.map((version, index) => toUpstream(version, index));
			for (const host of hosts.values()) {
				host.recordUpstreams(upstreams);
			}
		},
		listVersions: () => upstreams.map(({softwareVersion}) => softwareVersion),
		report() {
			for (const [name, host] of hosts) {
				const seen = host.reviewVersions();
				for (const [other, receiver] of hosts) {
					if (other !== name && random() >= lossShare) {
						receiver.recordSeenVersions(seen);
					}
				}
			}
		},
		kill(name: string) {
			hosts.get(name)?.stop();
			hosts.delete(name);
		},
		stop() {
			for (const host of hosts.values()) {
				host.stop();
			}
		},
	};
}

describe('a stream that nobody knows, of a service that had one version until this host started', () => {
	type Others = {
		readonly registered: number;
		readonly heard: number;
		readonly answering: number;
		/** Whether the store says that it does not know the stream either. */
		readonly isStoreRead?: boolean;
		/** Whether upstreams of the oldest version take new work, so that streams may have begun there. */
		readonly isOldestLeaving?: boolean;
		/** Of those that answer, hosts that were there before the service had several versions. */
		readonly remembering: number;
	};
	const three: Others = {
		registered: 3, heard: 3, answering: 3, remembering: 3,
	};
	const many: Others = {
		registered: 30, heard: 30, answering: 30, remembering: 30,
	};
	test.each<readonly [string, Others, string | undefined]>([
		['is of that version where all other hosts answer', three, 'v1'],
		['is of that version where as many as are asked answer', many, 'v1'],
		['is of that version where hosts are registered that were never heard', {...three, heard: 0, answering: 0}, 'v1'],
		['is of that version where a host has fallen silent', {...three, answering: 2}, 'v1'],
		['is of that version where one of many hosts has fallen silent', {...many, answering: 29}, 'v1'],
		['is of that version where two hosts have fallen silent', {...three, answering: 1, remembering: 1}, 'v1'],
		['is of no known version where three hosts have fallen silent', {...three, answering: 0, remembering: 0}, undefined],
		['is of that version where four of many hosts have fallen silent', {...many, answering: 26}, 'v1'],
		['is of no known version where five of many hosts have fallen silent', {...many, answering: 25}, undefined],
		['is of that version where one host has fallen silent and another one has started again', {...three, answering: 2, remembering: 1}, 'v1'],
		['is of no known version where one host has fallen silent and two others have started again', {...three, answering: 2, remembering: 0}, undefined],
		['is of no known version where one of many hosts has fallen silent and four others have started again', {...many, answering: 29, remembering: 25}, undefined],
		['is of no known version where the store does not respond', {...three, isStoreRead: false}, undefined],
		['is of no known version where the oldest takes no new work, so that it may be of another', {...three, isOldestLeaving: true}, undefined],
		['is of that version where one host has started again', {...three, remembering: 2}, 'v1'],
		['is of that version where one of many hosts has started again', {...many, remembering: 29}, 'v1'],
		['is of that version where two hosts have started again', {...three, remembering: 1}, 'v1'],
		['is of no known version where three hosts have started again', {...three, remembering: 0}, undefined],
		['is of that version where four of many hosts have started again', {...many, remembering: 26}, 'v1'],
		['is of no known version where five of many hosts have started again', {...many, remembering: 25}, undefined],
		['is of that version where one of two other hosts has started again', {
			registered: 2, heard: 2, answering: 2, remembering: 1,
		}, 'v1'],
		['is of no known version where both other hosts have started again', {
			registered: 2, heard: 2, answering: 2, remembering: 0,
		}, undefined],
	])('%s', async (_name, others, expected) => {
		const hosts = Array.from({length: others.registered}, (_, index) => ({host: `o-${index}`, peers: `o-${index}`}) as KnownHost);
		const answering = hosts.slice(0, others.answering);
		const versions = createStreamVersions({
			openArchive: () => ({
				...emptyArchive, isFromBefore: () => true, findOldest: () => 'v1', hasJustRead: () => others.isStoreRead ?? true,
			}),
			knowledge: {...knowsAll, listHeard: () => hosts.slice(0, others.heard)},
			listUpstreams: () => [], getReach: () => others.isOldestLeaving ? {upstreams: 0, reachable: 0} : allReached, listInReach: () => answering, listReachable: () => answering.length > 0 ? answering : hosts, alive: () => answering, now: Date.now, tell: () => undefined,
			async call(address: string) {
				const index = answering.findIndex(({peers}) => peers === address);
				if (index === -1) {
					throw new Error('unreachable');
				}

				return {version: null, remembers: index < others.remembering} as never;
			},
		});
		versions.recordUpstreams([toUpstream('v1', 0), toUpstream('v2', 1)]);
		const required = await versions.findRequired(toTakenUp('unknown'));
		versions.stop();
		expect(required).toEqual(expected === undefined ? {kind: 'unknown'} : {kind: 'one', version: expected});
	});
});

describe('the longest age of a stream that others are asked for', () => {
	const minuteMs = 60_000;
	test.each<readonly [string, ReadonlyArray<readonly [string, number]>, number]>([
		['is what a caller of the route waits', [['draft', 15_000]], 15_000],
		['is the longest that any caller of the route has waited', [['draft', 15_000], ['draft', 9000]], 15_000],
		['does not depend on other routes', [['draft', 15_000], ['check', 3000]], 3000],
		['is that of the oldest streams that are kept, where a caller waits for longer', [['draft', 60 * minuteMs]], minuteMs],
	])('%s', async (_name, requests, expected) => {
		const asked: Array<number | undefined> = [];
		const versions = createStreamVersions({
			openArchive: () => emptyArchive, knowledge: knowsAll,
			listUpstreams: () => [], getReach: () => allReached, listInReach: () => [], listReachable: () => [{host: 'o-1', peers: 'o-1'} as KnownHost], alive: () => [], now: Date.now, tell: () => undefined,
			call: (async (_address: string, _method: string, {maxAgeMs}: StreamSearch) => {
				asked.push(maxAgeMs);
				return {version: null};
			}) as unknown as PeerRpc,
		});
		versions.recordUpstreams([toUpstream('v1', 0), toUpstream('v2', 1)]);
		for (const [route, callerWaitMs] of requests) {
			await versions.findRequired({...toTakenUp('unknown'), route, waitMs: callerWaitMs});
		}

		versions.stop();
		expect(asked.at(-1)).toBe(expected);
	});
});

describe('a host that is asked for a stream that it does not know', () => {
	const startedAt = 1000;
	test.each<readonly [string, {readonly now: number; readonly maxAgeMs?: number; readonly isFromBefore?: boolean}, boolean]>([
		['has been there since before the stream can have begun', {now: 16_000, maxAgeMs: 15_000}, true],
		['may have started after the stream began', {now: 15_999, maxAgeMs: 15_000}, false],
		['has been there since before there were several versions', {now: 2000, maxAgeMs: 15_000, isFromBefore: true}, true],
		['is asked by a host that does not name the age, and may have started after the stream began', {now: 16_000}, false],
		['is asked by a host that does not name the age, and has been there for longer than any stream', {now: 61_000}, true],
	])('%s', (_name, {now, maxAgeMs, isFromBefore = false}, expected) => {
		let time = startedAt;
		const versions = createStreamVersions({
			openArchive: () => ({...emptyArchive, isFromBefore: () => isFromBefore}), knowledge: knowsAll,
			listUpstreams: () => [], getReach: () => allReached, listInReach: () => [], listReachable: () => [], alive: () => [], now: () => time, tell: () => undefined, call: async () => ({}),
		});
		time = now;
		expect(versions.answer({id: 'unknown', service: 's', ...(maxAgeMs === undefined ? {} : {maxAgeMs})})).toEqual({version: null, remembers: expected});
		versions.stop();
	});
});

describe('a stream that begins while a service has several versions', () => {
	const noneReached = {upstreams: 2, reachable: 0};
	const noneLeft = {upstreams: 0, reachable: 0};
	const alone = {canTellOthers: () => false, isInReach: () => false};
	test.each<readonly [string, Partial<VersionKnowledge>, typeof allReached, string | undefined]>([
		['may be of any where enough others are told', {}, allReached, undefined],
		['is of the oldest where too few others are told', {canTellOthers: () => false}, allReached, 'v1'],
		['is of the oldest where no other host is in reach', alone, allReached, 'v1'],
		['may be of any where too few others are told and the oldest is out of reach', {canTellOthers: () => false}, noneReached, undefined],
		['is of the oldest, and so refused, where neither another host nor that is in reach', alone, noneReached, 'v1'],
		['may be of any where too few others are told and the oldest takes no new work', {canTellOthers: () => false}, noneLeft, undefined],
		['may be of any where no other host is in reach and the oldest takes no new work', alone, noneLeft, undefined],
	])('%s', async (_name, changed, reach, expected) => {
		const versions = createStreamVersions({
			openArchive: () => ({...emptyArchive, findOldestListed: () => 'v1'}), knowledge: {...knowsAll, ...changed},
			listUpstreams: () => [], getReach: () => reach, listInReach: () => [], listReachable: () => [], alive: () => [], now: Date.now, tell: () => undefined, call: async () => ({}),
		});
		versions.recordUpstreams([toUpstream('v1', 0), toUpstream('v2', 1)]);
		expect(await versions.findBeginVersion('s', 'r')).toBe(expected);
		versions.stop();
	});
});

describe('the software versions that began streams', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	test('are never mistaken, whichever hosts die, start and are asked, and whatever is lost (property)', async () => {
		const event = fc.oneof(
			fc.record({kind: fc.constant('begin' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('begin' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('resume' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('kill' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('start' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('versions' as const), at: fc.nat(), which: fc.nat()}),
			fc.record({kind: fc.constant('wait' as const), at: fc.nat(), which: fc.nat()}),
		);
		const input = fc.record({
			count: fc.integer({min: 1, max: 8}), lossShare: fc.constantFrom(0, 0.1, 0.5), seed: fc.integer(), events: fc.array(event, {maxLength: 40}),
		});
		await fc.assert(fc.asyncProperty(input, async ({count, lossShare, seed, events}) => {
			const system = startHosts(count, lossShare, createSeededRandom(seed));
			system.setUpstreams(['v1']);
			const begun = new Map<string, string>();
			/** Whether some host has been there from the beginning, and so seen all versions. */
			let hasSurvivor = true;
			const pick = <T>(list: readonly T[], index: number): T | undefined => list[index % Math.max(1, list.length)];
			const resume = async (host: string, which: number): Promise<void> => {
				const stream = pick([...begun], which);
				const required = await system.hosts.get(host)!.findRequired(toTakenUp(stream?.[0]));
				if (!stream || required.kind === 'unknown') {
					return;
				}

				const [, version] = stream;
				if (required.kind === 'one') {
					expect(required.version).toBe(version);
					return;
				}

				// Nothing is required only where this host has seen one version, that of all listed upstreams.
				expect(new Set(system.listVersions()).size).toBe(1);
				expect(hasSurvivor && lossShare === 0 ? system.listVersions()[0] : version).toBe(version);
			};

			const handlers: Readonly<Record<(typeof events)[number]['kind'], (host: string, which: number) => unknown>> = {
				begin(host, which) {
					const id = `r-${begun.size}`;
					begun.set(id, pick(system.listVersions(), which)!);
					system.hosts.get(host)?.recordBegin(id, 's', begun.get(id)!);
				},
				kill(host) {
					system.kill(host);
					hasSurvivor = [...system.hosts.keys()].some(name => name.startsWith('h-'));
				},
				start(host, which) {
					system.start(`late-${host}-${which}`);
					system.report();
				},
				versions(_host, which) {
					system.setUpstreams(pick([['v1'], ['v1', 'v2'], ['v2'], ['v1', 'v2', 'v3'], ['v3', 'v2']], which)!);
					system.report();
				},
				async wait() {
					system.report();
					await vi.advanceTimersByTimeAsync(reportMs);
				},
				resume,
			};
			for (const {kind, at, which} of events) {
				const host = pick([...system.hosts.keys()], at);
				if (host !== undefined) {
					await handlers[kind](host, which);
				}
			}

			system.stop();
		}), {seed: 28, numRuns: Number(process.env.STREAM_RUNS ?? 100)});
	});

	test('cost no message while one version serves, and few when another one comes', async () => {
		const system = startHosts(8, 0, () => 0.9);
		system.setUpstreams(['v1', 'v1']);
		const first = system.hosts.get('h-0')!;
		for (let index = 0; index < 300; index++) {
			first.recordBegin(`r-${index}`, 's', 'v1');
		}

		await vi.advanceTimersByTimeAsync(1000);
		expect(await first.findRequired(toTakenUp('unknown'))).toEqual({kind: 'any', version: 'v1'});
		expect(system.countMessages()).toBe(0);
		system.setUpstreams(['v1', 'v2']);
		await vi.advanceTimersByTimeAsync(1000);
		expect(system.countMessages()).toBeLessThanOrEqual(7 * 3);
		system.kill('h-0');
		const known = await Promise.all(Array.from({length: 300}, async (_, index) => system.hosts.get('h-5')!.findRequired(toTakenUp(`r-${index}`))));
		system.stop();
		expect(known.every(({kind}) => kind === 'one')).toBe(true);
	});
});

describe('the index of streams', () => {
	test('is bounded in number and time', () => {
		const index = createStreamIndex(1000, 3);
		for (let at = 0; at < 5; at++) {
			index.add(`r-${at}`, 's', 'v1', at * 100);
		}

		expect(index.size()).toBe(3);
		expect(index.lookUp('r-0', 400)).toBe(undefined);
		expect(index.lookUp('r-4', 400)?.version).toBe('v1');
		expect(index.lookUp('r-4', 1401)).toBe(undefined);
	});
});

describe('the history of versions', () => {
	test.each([
		['one version', [['v1', 0]], 500, false],
		['two versions', [['v1', 0], ['v2', 100]], 500, true],
		['a version that has gone a while ago', [['v1', 0], ['v2', 900]], 1000, true],
		['a version that has gone long ago', [['v1', 0], ['v2', 900]], 1001, false],
		['a version that another host saw later', [['v1', 0], ['v2', 900], ['v1', 500], ['v1', 300]], 1400, true],
	] as const)('tells a service with several ones: %s', (_name, seen, at, expected) => {
		const history = createVersionHistory(1000);
		for (const [version, seenAt] of seen) {
			history.record('s', version, seenAt);
		}

		expect(history.isMixed('s', at)).toBe(expected);
		expect(history.listMixed(at).length > 0).toBe(expected);
	});
});
