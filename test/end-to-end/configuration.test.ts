import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createHttpPlatform} from '../../src/platform/create-http-platform.js';
import {type ConfigHead} from '../../src/publishing/config-head.js';
import {sleep} from '../../src/util/sleep.js';
import {requestCompletion} from '../support/request-completion.js';
import {setStandInFaults, readHostStatus, setHostFaults} from '../support/fleet-control.js';
import {
	fleetApiKeys, startFleet, type Fleet, type FleetHost,
} from '../support/start-fleet.js';
import {startProcess} from '../support/start-process.js';
import {waitUntil} from '../support/wait-until.js';

async function waitForRevision(hosts: readonly FleetHost[], revision: number): Promise<void> {
	await waitUntil(`revision ${revision} on all hosts`, async () => {
		const statuses = await Promise.all(hosts.map(async host => readHostStatus(host)));
		return statuses.every(status => status.revision >= revision);
	});
}

/** Polls the hosts' revisions; `stop` returns the decreases that were seen. */
function monitorRevisions(hosts: readonly FleetHost[]): {readonly stop: () => Promise<readonly string[]>} {
	const highest = new Map<string, number>();
	const decreases: string[] = [];
	const stopping = new AbortController();
	const polling = (async () => {
		while (!stopping.signal.aborted) {
			for (const host of hosts) {
				const status = await readHostStatus(host).catch(() => undefined);
				if (status && status.revision < (highest.get(host.name) ?? 0)) {
					decreases.push(`${host.name}: ${status.revision} after ${highest.get(host.name)}`);
				}

				highest.set(host.name, Math.max(highest.get(host.name) ?? 0, status?.revision ?? 0));
			}

			await sleep(20);
		}
	})();
	return {
		async stop() {
			stopping.abort();
			await polling;
			return decreases;
		},
	};
}

describe('an accepted configuration takes effect on all hosts and is never reverted', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	it('while publishers race and the platform loses responses and returns stale reads', async () => {
		fleet = await startFleet();
		const monitor = monitorRevisions(fleet.hosts);
		await setStandInFaults(fleet.platform, {loseAnswers: 4});
		const results = await Promise.allSettled(Array.from({length: 6}, async (_, index) => fleet.publish({deadlineMs: 10_000 + index})));
		const accepted = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : []);
		expect(accepted.length).toBeGreaterThan(0);
		await setStandInFaults(fleet.platform, {staleReads: true, loseAnswers: 0});
		await sleep(1500);
		await setStandInFaults(fleet.platform, {staleReads: false});
		await waitForRevision(fleet.hosts, Math.max(...accepted));
		expect(await monitor.stop()).toEqual([]);
	});

	it('on a host that starts while the platform is down, from its peers', async () => {
		fleet = await startFleet();
		const revision = await fleet.publish({deadlineMs: 9000});
		await waitForRevision(fleet.hosts, revision);
		await setStandInFaults(fleet.platform, {down: true});
		const restarted = fleet.hosts[3]!;
		restarted.process.child.kill('SIGKILL');
		await restarted.process.waitForExit();
		fleet.startHost(restarted);
		await waitForRevision([restarted], revision);
		const response = await requestCompletion(restarted.callers, fleetApiKeys.acme, {prompt: 'from peers', max_tokens: 3});
		expect(response.isWhole).toBe(true);
	});

	it('in a failure domain that is partitioned from the platform, through the other domain', async () => {
		fleet = await startFleet();
		await Promise.all(fleet.hosts.slice(2).map(async host => setHostFaults(host, {cutPlatform: true})));
		const revision = await fleet.publish({deadlineMs: 9000});
		await waitForRevision(fleet.hosts, revision);
	});

	it('in a failure domain that was fully partitioned, once it reconnects; until then it serves its current configuration', async () => {
		fleet = await startFleet();
		const [near, far] = [fleet.hosts.slice(0, 2), fleet.hosts.slice(2)];
		const monitor = monitorRevisions(fleet.hosts);
		await Promise.all(far.map(async host => setHostFaults(host, {cutPlatform: true, cutPeers: near.map(other => other.peers)})));
		await Promise.all(near.map(async host => setHostFaults(host, {cutPeers: far.map(other => other.peers)})));
		const revision = await fleet.publish({deadlineMs: 9000});
		await waitForRevision(near, revision);
		expect((await readHostStatus(far[0]!)).revision).toBeLessThan(revision);
		const response = await requestCompletion(far[0]!.callers, fleetApiKeys.acme, {prompt: 'cut off', max_tokens: 3});
		expect(response.isWhole).toBe(true);
		await Promise.all(fleet.hosts.map(async host => setHostFaults(host, {cutPlatform: false, cutPeers: []})));
		await waitForRevision(far, revision);
		expect(await monitor.stop()).toEqual([]);
	});

	it('when publishers are killed at any step: their change applies completely or not at all, and the next one succeeds', async () => {
		fleet = await startFleet({hostsPerDomain: 1});
		const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-killed-'));
		const formatService = (weight: number): string => JSON.stringify({
			service: 'extra', kind: 'plain', weight, workspaces: [{name: 'w', keys: ['a'.repeat(64)]}],
			upstreams: [{name: 'extra-1', domain: 'west-1', url: 'http://127.0.0.1:1'}],
			routes: [{path: '/', method: 'GET', repeatable: true}],
		});
		await setStandInFaults(fleet.platform, {slowMs: 120});
		for (const [index, delayMs] of [450, 600, 750, 900, 1050].entries()) {
			writeFileSync(path.join(folder, 'extra.hemlockpier.jsonc'), formatService(index + 1));
			const publisher = startProcess(['publish', folder, '--platform', fleet.platform.url]);
			await sleep(delayMs);
			publisher.child.kill('SIGKILL');
		}

		await setStandInFaults(fleet.platform, {slowMs: 0});
		const platform = createHttpPlatform(fleet.platform.url);
		const head = JSON.parse((await platform.read('config/head'))!.value) as ConfigHead;
		for (const hash of Object.values(head.services)) {
			expect(await platform.read(`config/service/${hash}`)).toBeDefined();
		}

		const revision = await fleet.publish({deadlineMs: 8000});
		expect(revision).toBe(head.revision + 1);
		await waitForRevision(fleet.hosts, revision);
	});
});
