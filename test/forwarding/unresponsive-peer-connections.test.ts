import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {createReportRelay} from '../soak/create-report-relay.js';
import {createTcpProxy, type TcpProxy} from '../soak/create-tcp-proxy.js';
import {sendRawRequest} from '../support/send-raw-request.js';
import {buildRawRequest} from '../support/build-raw-request.js';
import {startTestGateway, type TestGateway} from '../support/start-test-gateway.js';
import {createObjectStoreServer, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from '../support/create-upstream-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {waitUntilReady} from '../support/wait-until-ready.js';
import {waitUntil} from '../support/wait-until.js';

let store: ObjectStoreServer;
let upstream: UpstreamServer;
let first: TestGateway;
let second: TestGateway;
/** Proxies from the second host to the store, and from the second host to the first. */
let toStore: TcpProxy;
let toFirst: TcpProxy;
let cleanups: Array<() => void>;

const statusAtSecond = async (target: string): Promise<number> => (await sendRawRequest(second.callers, buildRawRequest({target}))).status;

function putConfiguration(version: number, paths: readonly string[]): void {
	const {routes} = platformObjects.configuration(version);
	const added = paths.map(path => platformObjects.route({name: `r-${path}`, path_prefix: `/${path}/`}));
	store.put('config', 'main', platformObjects.configuration(version, {routes: [...routes, ...added]}));
}

beforeEach(async () => {
	const addressMappings = new Map<string, string>();
	store = await createObjectStoreServer(text => text.replaceAll(/127\.0\.0\.1:\d+/gv, address => addressMappings.get(address) ?? address));
	upstream = await createUpstreamServer();
	putConfiguration(1, []);
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address));
	const [storePort, peersPort, realPeersPort, firstRelayPort, firstPort, secondRelayPort, secondPort] = await findTestPorts(7);
	toStore = await createTcpProxy(storePort!, store.address);
	toFirst = await createTcpProxy(peersPort!, `127.0.0.1:${realPeersPort}`);
	// Reports pass through relays that replace the first host's RPC address with that of the proxy.
	const relays = await Promise.all([[firstRelayPort!, firstPort!], [secondRelayPort!, secondPort!]].map(async ([port, target]) => {
		addressMappings.set(`127.0.0.1:${target}`, `127.0.0.1:${port}`);
		return createReportRelay(port!, `127.0.0.1:${target}`, toFirst.state, addressMappings);
	}));
	addressMappings.set(`127.0.0.1:${realPeersPort}`, toFirst.address);
	first = await startTestGateway(store.address, {peers: `127.0.0.1:${realPeersPort}`, reports: `127.0.0.1:${firstPort}`});
	second = await startTestGateway(toStore.address, {reports: `127.0.0.1:${secondPort}`});
	cleanups = [store.stop, upstream.stop, toStore.stop, toFirst.stop, ...relays.map(relay => relay.stop)];
	await waitUntilReady(first, second);
});

afterEach(async () => {
	await Promise.all([first.stop(), second.stop()]);
	for (const stop of cleanups) {
		stop();
	}
});

describe('a host partitioned from the store', () => {
	test('gets changes from a peer, also after the open connections to that peer have become unresponsive', async () => {
		Object.assign(toStore.state, {isInboundBlocked: true, isOutboundBlocked: true});
		putConfiguration(2, ['one']);
		await waitUntil('the first change to arrive from the peer', async () => await statusAtSecond('/one/x') === 200);
		expect(toFirst.countConnections()).toBeGreaterThan(0);
		toFirst.blackholeConnections();
		putConfiguration(3, ['one', 'two']);
		await waitUntil('the second change to arrive over a new connection', async () => await statusAtSecond('/two/x') === 200);
		expect(await statusAtSecond('/one/x')).toBe(200);
	});
});
