// Guards against docs/incidents/silent-connections-to-the-store.md.
import process from 'node:process';
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {createTcpProxy} from '../soak/create-tcp-proxy.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer} from '../support/create-upstream-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {startTestGateway} from '../support/start-test-gateway.js';
import {waitUntilReady} from '../support/wait-until-ready.js';

/** The smallest time within which a change is in force everywhere, on the users' pages. */
const applyMs = 2000;
const checkMs = 50;
/** Time without changes before the silence; longer ones by hand. */
const idleMs = Number(process.env.IDLE_MS ?? 1500);
const hostCount = 4;

const shares: ReadonlyArray<readonly [string, number]> = [['one host', 1], ['half of the hosts', 2], ['all hosts', hostCount]];
/** Time from the silence to the change. */
const delaysMs = [0, 400, 1000, 1900, 4000];
const counts: ReadonlyArray<readonly [string, number]> = [['once', 1], ['twice', 2]];

const cases = shares.flatMap(([shareName, silentHosts]) => delaysMs.flatMap(delayMs => counts.map(([countName, count]) =>
	[`${shareName}, ${delayMs} ms before, ${countName}`, {silentHosts, delayMs, count}] as const)));

const addedRoute = platformObjects.route({name: 'r-added', path_prefix: '/added/'});

async function startHosts() {
	const store = await createObjectStoreServer();
	const upstream = await createUpstreamServer();
	const configuration = platformObjects.configuration(1);
	store.put('config', 'main', configuration);
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address));
	const ports = await findTestPorts(hostCount);
	const proxies = await Promise.all(ports.map(async port => createTcpProxy(port, store.address)));
	const gateways = await Promise.all(proxies.map(async ({address}, index) => startTestGateway(address, {domain: index < hostCount / 2 ? 'domain-a' : 'domain-b'})));
	await waitUntilReady(...gateways);
	return {
		proxies, gateways,
		addRoute() {
			store.put('config', 'main', {...configuration, version: 2, routes: [...configuration.routes, addedRoute]});
		},
		async stop() {
			await Promise.all(gateways.map(async gateway => gateway.stop()));
			for (const each of [...proxies, upstream, store]) {
				each.stop();
			}
		},
	};
}

describe('a change while connections to the store have gone silent', () => {
	test.each(cases)('is in force everywhere in time: %s', async (_name, {silentHosts, delayMs, count}) => {
		const hosts = await startHosts();
		await sleep(1200);
		for (let round = 0; round < count; round++) {
			await sleep(idleMs);
			for (const proxy of hosts.proxies.slice(0, silentHosts)) {
				proxy.blackholeConnections();
			}
		}

		await sleep(delayMs);
		hosts.addRoute();
		const changedAt = performance.now();
		const tookMs = await Promise.all(hosts.gateways.map(async ({callers}) => {
			for (;;) {
				const {status} = await sendRawRequest(callers, buildRawRequest({target: '/added/x'}));
				if (status === 200 || performance.now() - changedAt > 3 * applyMs) {
					return performance.now() - changedAt;
				}

				await sleep(checkMs);
			}
		}));
		await hosts.stop();
		expect(Math.max(...tookMs)).toBeLessThanOrEqual(applyMs);
	});
});
