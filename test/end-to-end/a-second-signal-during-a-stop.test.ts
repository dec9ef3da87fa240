// Guards against docs/incidents/second-signal-during-a-stop.md: a second signal ended the process and cut what was under way.
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, sendSignedResponse} from '../support/create-upstream-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {setStandInFaults} from '../support/fleet-control.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendBooking} from '../support/send-booking.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {fleetApiKeys, startFleet} from '../support/start-fleet.js';
import {startProcess, type TestProcess} from '../support/start-process.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** Longer than the time between the signals and what a process takes to end. */
const workMs = 2000;
const betweenMs = 300;

/** A host with a request under way. */
type BusyHost = {
	readonly process: TestProcess;
	/** Resolves whether the request got its answer. */
	readonly isAnswered: Promise<boolean>;
	readonly stop: () => Promise<void>;
};

async function startGatewayProcess(): Promise<BusyHost> {
	const store = await createObjectStoreServer();
	const upstream = await createUpstreamServer();
	upstream.answer = (received, socket) => {
		setTimeout(() => {
			sendSignedResponse(received, socket);
		}, received.target === '/health' ? 0 : workMs);
	};

	store.put('config', 'main', platformObjects.configuration(1, {routes: [platformObjects.route({timeout_ms: 2 * workMs, goal_ms: 2 * workMs})]}));
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address));
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(5);
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'hemlockpier-')), 'host.jsonc');
	writeFileSync(file, JSON.stringify({
		name: 'host-1', domain: 'domain-a', region: 'region-a', callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`, metricsPort, objectStore: store.address, bounds: {graceS: 8},
	}));
	const started = startProcess(['gateway', '--settings', file]);
	await waitUntilReady({readiness: `127.0.0.1:${readiness}`});
	const answer = sendRawRequest(`127.0.0.1:${callers}`, buildRawRequest({deadlineMs: 2 * workMs}));
	return {
		process: started,
		isAnswered: answer.then(({status, isWhole}) => status === 200 && isWhole),
		async stop() {
			store.stop();
			upstream.stop();
		},
	};
}

async function startOwnHost(): Promise<BusyHost> {
	const fleet = await startFleet({
		domains: ['west-1'], hostsPerDomain: 1, engines: 1, drainMs: 200,
	});
	await setStandInFaults(fleet.service, {runMs: workMs});
	const [host] = fleet.hosts;
	const booking = sendBooking(host!.callers, fleetApiKeys.brook, 'one').then(({status}) => status === 200, () => false);
	return {process: host!.process, isAnswered: booking, stop: fleet.stop};
}

const hosts = {gateway: startGatewayProcess, serve: startOwnHost} as const;
const signals: ReadonlyArray<readonly [NodeJS.Signals, NodeJS.Signals]> = [['SIGTERM', 'SIGTERM'], ['SIGTERM', 'SIGINT'], ['SIGINT', 'SIGTERM']];
const cases = Object.entries(hosts).flatMap(([name, start]) => signals.map(([first, second]) => [name, first, second, start] as const));

describe('a second signal during a stop leaves what is under way to end', () => {
	test.each(cases)('%s: %s, then %s', async (_name, first, second, start) => {
		const {process: running, isAnswered, stop} = await start();
		await sleep(betweenMs);
		running.child.kill(first);
		await sleep(betweenMs);
		running.child.kill(second);
		expect(await isAnswered).toBe(true);
		expect(await running.waitForExit()).toBe(0);
		await stop();
	});
});
