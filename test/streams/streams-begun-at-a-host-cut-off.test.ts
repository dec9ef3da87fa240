// Guards against a stream that goes on at another software version after the host that began it was cut off and killed: docs/incidents/streams-begun-at-a-host-cut-off.md.
import {describe, expect, test} from 'vitest';
import {adapter} from '../../platform/adapter.js';
import {sleep} from '../../src/util/sleep.js';
import {type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createRelease} from '../support/create-release.js';
import {type RawResponse} from '../support/send-raw-request.js';
import {startSeparableSystem, type SeparableHost, type SeparableSystem} from '../support/start-separable-system.js';
import {startTestGateway} from '../support/start-test-gateway.js';
import {waitUntil} from '../support/wait-until.js';
import {
	type BegunStream, beginStream, listVersions, takeUpStream,
} from '../support/versioned-streams.js';

const streams = 12;
/** Timeout of the route of the streams: none is older when it is taken up. */
const streamTimeoutMs = 5000;
/** Time in which hosts hear of a release, or that they are cut off. */
const noticeMs = 900;

type Release = ReturnType<typeof createRelease>;
/** What a case is played with. */
type Stage = {readonly system: SeparableSystem; readonly release: Release};

const domains = ['domain-a', 'domain-a', 'domain-b', 'domain-b'];

async function cutOff({hosts}: SeparableSystem, cut: readonly SeparableHost[], from: readonly string[] = ['store', 'hosts']): Promise<void> {
	const others = hosts.filter(host => !cut.includes(host));
	await Promise.all(cut.map(async host => {
		if (from.includes('store')) {
			await host.cutFromStore();
		}

		if (from.includes('hosts')) {
			await host.cutFromHosts(others);
		}
	}));
}

const killAll = async (hosts: readonly SeparableHost[]): Promise<void> => {
	await Promise.all(hosts.map(async host => host.kill()));
};

const healAll = async (hosts: readonly SeparableHost[]): Promise<void> => {
	await Promise.all(hosts.map(async host => host.heal()));
};

type Case = {
	readonly domains: readonly string[];
	/** Whether no host of the system has been there before. */
	readonly isFirstStart: boolean;
	/** Time between the start of the hosts and all that follows. */
	readonly startsMsBefore: number;
	/** When the second version comes. */
	readonly release: 'before the hosts start' | 'before the cut' | 'before the cut, and the first one is leaving' | 'during the cut' | 'never';
	readonly begins: 'before the cut' | 'during the cut';
	/** Cuts the host that begins the streams off, with others. */
	readonly cut: (system: SeparableSystem) => Promise<void>;
	/** What happens between the begin of the streams and their being taken up; returns the host at which they are. */
	readonly change: (stage: Stage) => Promise<SeparableHost>;
	/** Whether all streams go on; otherwise each of them may be refused. */
	readonly goesOn: boolean;
};

const cutFirst: Case['cut'] = async system => cutOff(system, system.hosts.slice(0, 1));

/** Kills the first hosts and starts others in their place. */
const restart = (count: number, toName: (host: SeparableHost) => string | undefined = ({name}) => name) => async ({system}: Stage): Promise<readonly SeparableHost[]> => {
	const killed = system.hosts.slice(0, count);
	await killAll(killed);
	await healAll(system.hosts.slice(count));
	const started = await Promise.all(killed.map(async host => system.addHost(host.domain, toName(host))));
	await sleep(noticeMs);
	return started;
};

/** Restarts the first hosts; the streams are taken up at the host with the given index. */
const restartThenAt = (index: number, count = 1, toName?: Parameters<typeof restart>[1]) => async (stage: Stage): Promise<SeparableHost> => {
	await restart(count, toName)(stage);
	return stage.system.hosts[index]!;
};

/** Ends another host too, of the other domain, after the first has been restarted, and starts it again; the streams are taken up beside it. */
const restartAnother = (end: (host: SeparableHost) => Promise<void>) => async (stage: Stage): Promise<SeparableHost> => {
	const {hosts, addHost} = stage.system;
	const [another, beside] = hosts.slice(2);
	await restart(1)(stage);
	await end(another!);
	await addHost(another!.domain, another!.name);
	await sleep(2 * noticeMs);
	return beside!;
};

const killAnother = restartAnother(async host => host.kill());

const killFirst = (count = 1): Case['change'] => async ({system}) => {
	await killAll(system.hosts.slice(0, count));
	return system.hosts[2]!;
};

const defaults: Case = {
	domains, isFirstStart: false, startsMsBefore: 0, release: 'before the cut', begins: 'during the cut', cut: cutFirst, change: restartThenAt(2), goesOn: true,
};

const cases: ReadonlyArray<readonly [string, Partial<Case>]> = [
	['it is back at once', {}],
	['it is back, and they are taken up in its domain', {change: restartThenAt(1)}],
	['it is back, and they are taken up there', {
		async change(stage) {
			const [started] = await restart(1)(stage);
			return started!;
		},
	}],
	['it is back under another name', {change: restartThenAt(2, 1, () => undefined)}],
	['it does not come back', {change: killFirst()}],
	['it does not come back, and another one does not answer in time', {
		async change(stage) {
			await stage.system.hosts[3]!.cutFromHosts([]);
			return killFirst()(stage);
		},
	}],
	['it was cut off from the other hosts only', {
		cut: async system => cutOff(system, system.hosts.slice(0, 1), ['hosts']),
	}],
	['it was cut off from the store only', {
		cut: async system => cutOff(system, system.hosts.slice(0, 1), ['store']),
	}],
	['it heard the others, which did not hear it', {
		async cut({hosts}) {
			const [first, ...others] = hosts;
			await first!.cutFromStore();
			for (const other of others) {
				other.blockReportsFrom(first!.reports);
			}
		},
	}],
	['it lives on', {
		async change({system}) {
			await healAll(system.hosts);
			await sleep(noticeMs);
			return system.hosts[2]!;
		},
	}],
	['it was cut off together with one of another domain, both are back', {
		cut: async system => cutOff(system, [system.hosts[0]!, system.hosts[2]!]), change: killAnother,
	}],
	['another one was cut off alone as well, both are back', {
		async cut(system) {
			await cutOff(system, [system.hosts[0]!]);
			await cutOff(system, [system.hosts[2]!]);
		},
		change: killAnother,
	}],
	['its domain was cut off as a whole, the others there live on', {
		cut: async system => cutOff(system, system.hosts.slice(0, 2)),
	}],
	['its domain was cut off as a whole, and all hosts there are killed', {
		cut: async system => cutOff(system, system.hosts.slice(0, 2)), change: restartThenAt(2, 2),
	}],
	['its domain was cut off as a whole, and no host there comes back', {
		cut: async system => cutOff(system, system.hosts.slice(0, 2)), change: killFirst(2),
	}],
	['three of four were cut off together and killed', {
		cut: async system => cutOff(system, system.hosts.slice(0, 3)), change: restartThenAt(3, 3), goesOn: false,
	}],
	['it is the only one of its domain', {domains: ['domain-a', 'domain-b', 'domain-b'], change: restartThenAt(1)}],
	['all hosts are killed with it', {
		async change(stage) {
			const [started] = await restart(4)(stage);
			return started!;
		},
		goesOn: false,
	}],
	['both versions serve from the start', {release: 'before the hosts start', startsMsBefore: streamTimeoutMs}],
	['both versions serve from the start, just before', {release: 'before the hosts start', goesOn: false}],
	['hosts are in their first start', {isFirstStart: true, startsMsBefore: streamTimeoutMs}],
	['both versions serve from the first start', {release: 'before the hosts start', isFirstStart: true, startsMsBefore: streamTimeoutMs}],
	['all hosts started just before, as the first of their system', {isFirstStart: true, goesOn: false}],
	['the second version comes during the cut', {release: 'during the cut'}],
	['the first version is leaving', {release: 'before the cut, and the first one is leaving', goesOn: false}],
	['the first version is leaving, and its domain was cut off as a whole', {
		release: 'before the cut, and the first one is leaving', cut: async system => cutOff(system, system.hosts.slice(0, 2)), change: restartThenAt(2, 2), goesOn: false,
	}],
	['there is one version only', {release: 'never'}],
	['they began before the cut', {begins: 'before the cut'}],
	['they began before the cut, and it does not come back', {begins: 'before the cut', change: killFirst()}],
	['another one is restarted as planned before their callers return', {change: restartAnother(async host => host.drain())}],
	['the first version leaves meanwhile', {
		async change(stage) {
			stage.release.removeOld(stage.system.store);
			return restartThenAt(2)(stage);
		},
		goesOn: false,
	}],
];

/** The hosts under test are not the first ones of their system: another one has stored which versions serve. */
async function recordVersions(store: ObjectStoreServer): Promise<void> {
	const gateway = await startTestGateway(store.address);
	await waitUntil('the versions that serve to be stored', () => store.copy().kinds.get(adapter.kinds.streams)?.has('.versions') === true);
	await gateway.drain();
}

/** Begins streams at a host that is cut off while two versions serve, kills it and has them taken up elsewhere. */
async function play({domains: of, isFirstStart, startsMsBefore, release: comes, begins, cut, change}: Case): Promise<ReadonlyArray<readonly [BegunStream, RawResponse]>> {
	const release = createRelease();
	const system = await startSeparableSystem(of, async store => {
		await release.prepare(store);
		if (comes === 'before the hosts start') {
			await release.releases.added(store);
		}

		if (!isFirstStart) {
			await recordVersions(store);
		}
	});
	await sleep(startsMsBefore);
	const begin = async (): Promise<readonly BegunStream[]> =>
		Promise.all(Array.from({length: streams}, async (_, index) => beginStream(system.hosts[0]!.gateway.callers, `cut-off-${index}`)));
	if (comes.startsWith('before the cut')) {
		await release.releases.added(system.store);
		await sleep(noticeMs);
	}

	if (comes.endsWith('is leaving')) {
		release.leaveOld(system.store);
		await sleep(noticeMs);
	}

	const before = begins === 'before the cut' ? await begin() : [];
	await cut(system);
	if (comes === 'during the cut') {
		await release.releases.added(system.store);
	}

	await sleep(noticeMs);
	const begun = begins === 'during the cut' ? await begin() : before;
	const host = await change({system, release});
	const responses = await Promise.all(begun.map(async (stream, index) => takeUpStream(host.gateway.callers, stream, index)));
	await system.stop();
	release.stop();
	return begun.map((stream, index) => [stream, responses[index]!]);
}

describe.concurrent('streams that a host began while it was cut off, with two versions serving, go on at their version or are refused', () => {
	test.each(cases)('%s', async (_name, changed) => {
		const {goesOn, ...played} = {...defaults, ...changed};
		const results = await play({...played, goesOn});
		expect(results.filter(([{version}]) => version === undefined)).toEqual([]);
		expect(results.flatMap(([{version}, {text}]) => listVersions(text).filter(each => each !== version))).toEqual([]);
		expect(results.map(([, {status}]) => status).filter(status => status !== 200 && (goesOn || status !== 503))).toEqual([]);
	});
});
