// Guards against a stream that goes on at another software version, at a host that stood still during a release: docs/incidents/streams-at-a-host-out-of-step.md.
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {createRelease, type ReleaseName} from '../support/create-release.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {startProcess} from '../support/start-process.js';
import {beginStream, listVersions, takeUpStream} from '../support/versioned-streams.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

const streams = 12;
const noticeMs = 300;
const settleMs = 1500;
/** Lines of the output of a host that does not become ready. */
const reportedLines = 30;
/** Requests that are sent so long before the process goes on lie in its sockets then. */
const sentBeforeMs = 50;

async function startHost(store: string, domain: string, folder: string) {
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(5);
	const file = path.join(folder, `host-${callers}.jsonc`);
	const settings = {
		name: `host-${callers}`, domain, region: 'region-a', callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`, metricsPort, objectStore: store, bounds: {retrySlack: 1000},
	};
	writeFileSync(file, JSON.stringify(settings));
	const {child, lines} = startProcess(['gateway', '--settings', file]);
	const host = {callers: settings.callers, readiness: settings.readiness, child};
	try {
		await waitUntilReady(host);
	} catch (error) {
		throw new Error(`host is not ready, exit code ${child.exitCode}, its output ends with ${lines.slice(-reportedLines).join('\n')}`, {cause: error});
	}

	return host;
}

describe.concurrent('a stream that began at one version goes on at that version or is refused, at a host that stood still during a release', () => {
	test.each([500, 2000, 6000].flatMap(durationMs => (['added', 'replaced', 'old ones gone'] as const).flatMap(release => (['before it goes on', 'after it goes on'] as const).map(moment => [
		`for ${durationMs} ms, new upstreams ${release}, taken up ${moment}`, durationMs, release, moment,
	] as const))))('%s', async (_name, durationMs: number, releaseName: ReleaseName, moment) => {
		const release = createRelease();
		const store = await createObjectStoreServer();
		store.put('config', 'main', platformObjects.configuration(1));
		await release.prepare(store);
		const folder = mkdtempSync(path.join(tmpdir(), 'hemlockpier-'));
		const [first, second] = await Promise.all(['domain-a', 'domain-b'].map(async domain => startHost(store.address, domain, folder)));
		await sleep(settleMs);
		second!.child.kill('SIGSTOP');
		await sleep(Math.max(0, durationMs - noticeMs));
		await release.releases[releaseName](store);
		await sleep(noticeMs);
		const begun = await Promise.all(Array.from({length: streams}, async (_, index) => beginStream(first!.callers, `still-${durationMs}-${index}`)));
		if (moment === 'after it goes on') {
			second!.child.kill('SIGCONT');
		}

		const responses = begun.map(async (stream, index) => takeUpStream(second!.callers, stream, index));
		await sleep(sentBeforeMs);
		second!.child.kill('SIGCONT');
		const played = await Promise.all(responses);
		for (const {child} of [first!, second!]) {
			child.kill('SIGKILL');
		}

		store.stop();
		release.stop();
		expect(begun.flatMap(({version}, index) => listVersions(played[index]!.text).filter(each => each !== version))).toEqual([]);
		expect(played.map(({status}) => status).filter(status => ![200, 503].includes(status))).toEqual([]);
	});
});
