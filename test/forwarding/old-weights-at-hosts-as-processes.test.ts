// Guards against requests that begin on old weights after their time, at hosts that were killed, stopped or stood still: docs/incidents/old-weights-after-their-time.md.
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import PQueue from 'p-queue';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createWeightedEngine} from '../support/create-weighted-engine.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startProcess, type TestProcess} from '../support/start-process.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Time after new weights are named by which no request may begin on older ones. */
const versionMs = 4000;
/** Requests are sent until then: a host that took the weights for new when it went on used old ones for 1.5 s from there. */
const watchedMs = versionMs + 2600;
const settleMs = 2000;
const requestIntervalMs = 60;
/** A caller waits no longer than this for a host that stands still. */
const patienceMs = 1200;
/** Requests are sent for so long before the case begins. */
const beforeMs = 400;
/** Lines of the output of a host that does not become ready. */
const reportedLines = 30;

/** A host as a process, which can be ended and started again under its name and addresses. */
type Host = {
	process: TestProcess;
	readonly callers: string;
	/** Starts the process and waits until it is ready. */
	readonly start: () => Promise<void>;
};

/** The system of a case. */
type System = {
	readonly hosts: readonly Host[];
	/** Names the new weights. */
	readonly name: () => void;
	/** Sleeps until a time after the naming. */
	readonly sleepUntil: (afterMs: number) => Promise<void>;
};

/** What happens; it names the new weights. */
type Play = (system: System) => Promise<void>;

async function createHost(store: ObjectStoreServer, folder: string): Promise<Host> {
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(5);
	const file = path.join(folder, `host-${callers}.jsonc`);
	const settings = {
		name: `host-${callers}`, domain: 'domain-a', region: 'region-a', callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`, metricsPort, objectStore: store.address, bounds: {versionMs, retrySlack: 1000},
	};
	writeFileSync(file, JSON.stringify(settings));
	const open = (): TestProcess => startProcess(['gateway', '--settings', file]);
	const host: Host = {
		process: open(),
		callers: settings.callers,
		async start() {
			if (host.process.child.exitCode !== null || host.process.child.signalCode !== null) {
				host.process = open();
			}

			try {
				await waitUntilReady(settings);
			} catch (error) {
				const {child, lines} = host.process;
				throw new Error(`host is not ready, exit code ${child.exitCode}, its output ends with ${lines.slice(-reportedLines).join('\n')}`, {cause: error});
			}
		},
	};
	return host;
}

async function end({process: {child, waitForExit}}: Host, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
	child.kill(signal);
	await waitForExit();
}

async function restart(host: Host, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
	await end(host, signal);
	await host.start();
}

/** Sends requests to a host one after the other until `hasEnded`; a host that is down or stands still gives none or late responses. */
async function ask({callers}: Host, hasEnded: () => boolean): Promise<number> {
	let served = 0;
	while (!hasEnded()) {
		try {
			const response = await Promise.race([sleep(patienceMs), sendRawRequest(callers, buildRawRequest({
				method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 1000,
				headers: 'Model: m\r\nToken-Count: 100,4\r\nPrompt-Prefix: aa:50,cc:50\r\n',
			}))]);
			served += response?.status === 200 ? 1 : 0;
		} catch {
			// The host is down.
		}

		await sleep(requestIntervalMs);
	}

	return served;
}

const kills = [100, 1000, 3000].map(afterMs => [`the host that answers is killed ${afterMs} ms after the naming and comes back`, async ({hosts, name, sleepUntil}: System) => {
	name();
	await sleepUntil(afterMs);
	await restart(hosts[0]!, 'SIGKILL');
}] as const);

const killsOfAll = [100, 1000, 3000].map(afterMs => [`all hosts are killed at once ${afterMs} ms after the naming and come back`, async ({hosts, name, sleepUntil}: System) => {
	name();
	await sleepUntil(afterMs);
	await Promise.all(hosts.map(async host => restart(host, 'SIGKILL')));
}] as const);

/** Freezes of some hosts: when it begins and ends, from the naming. */
const freezes = ([
	['one host', 1, -800, 2500], ['one host', 1, 300, 3500], ['one host', 1, -800, 4500], ['all hosts', 3, -800, 2500], ['all hosts', 3, 300, 3500],
] as const).map(([whom, count, fromMs, toMs]) => [
	`${whom} stood still from ${fromMs} to ${toMs} ms after the naming`, async ({hosts, name, sleepUntil}: System) => {
		const still = hosts.slice(0, count).map(({process: {child}}) => child);
		const freeze = (): void => {
			for (const child of still) {
				child.kill('SIGSTOP');
			}
		};

		if (fromMs < 0) {
			freeze();
			await sleep(-fromMs);
			name();
		} else {
			name();
			await sleepUntil(fromMs);
			freeze();
		}

		await sleepUntil(toMs);
		for (const child of still) {
			child.kill('SIGCONT');
		}
	},
] as const);

const cases: ReadonlyArray<readonly [name: string, play: Play]> = [
	['nothing else happens', async ({name}) => {
		name();
	}],
	...kills,
	['the host that answers is killed twice and comes back', async ({hosts, name, sleepUntil}) => {
		name();
		await sleepUntil(600);
		await restart(hosts[0]!, 'SIGKILL');
		await sleepUntil(2800);
		await restart(hosts[0]!, 'SIGKILL');
	}],
	...killsOfAll,
	...freezes,
	['each host in turn is stopped as planned and comes back', async ({hosts, name, sleepUntil}) => {
		name();
		for (const [index, host] of hosts.entries()) {
			await sleepUntil(500 + (index * 1000));
			await restart(host, 'SIGTERM');
		}
	}],
	['the weights are named while each host in turn is stopped as planned and comes back', async ({hosts, name}) => {
		await restart(hosts[0]!, 'SIGTERM');
		const stopped = end(hosts[1]!, 'SIGTERM');
		name();
		await stopped;
		await hosts[1]!.start();
		await restart(hosts[2]!, 'SIGTERM');
	}],
];

/** Cases beside each other starve the process in which the engines run. */
const queue = new PQueue({concurrency: 3});
/** With the time in the queue. */
const caseTimeoutMs = 180_000;

describe.concurrent('no request begins on old weights later than the bound after newer ones were named', () => {
	test.each(cases)('%s', async (_name, play) => queue.add(async () => {
		const store = await createObjectStoreServer();
		const engine = await createWeightedEngine();
		store.put('config', 'main', platformObjects.configuration(1));
		store.put('versions', 'm', {model: 'm', version: 1});
		store.put('servers', 'i-0', platformObjects.upstream(engine.address, {models: [{name: 'm', version: 1, adapters: []}]}));
		const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-'));
		const hosts = await Promise.all(Array.from({length: 3}, async () => createHost(store, folder)));
		let namedAt = Number.POSITIVE_INFINITY;
		const system: System = {
			hosts,
			name() {
				store.put('versions', 'm', {model: 'm', version: 2});
				namedAt = performance.now();
			},
			async sleepUntil(afterMs) {
				await sleep(Math.max(0, namedAt + afterMs - performance.now()));
			},
		};
		try {
			await Promise.all(hosts.map(async host => host.start()));
			await sleep(settleMs);
			const asking = Promise.all(hosts.map(async host => ask(host, () => performance.now() - namedAt > watchedMs)));
			await sleep(beforeMs);
			await play(system);
			const served = await asking;
			// Where a host did not serve before, the case would show nothing.
			expect(served.filter(count => count === 0)).toEqual([]);
			expect(engine.runs.map(({at, weights}) => ({ageMs: Math.round(at - namedAt), weights})).filter(({ageMs, weights}) => weights < 2 && ageMs > versionMs)).toEqual([]);
		} finally {
			for (const {process: {child}} of hosts) {
				child.kill('SIGKILL');
			}

			store.stop();
			engine.stop();
		}
	}), caseTimeoutMs);
});
