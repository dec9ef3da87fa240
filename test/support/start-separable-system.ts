import {sleep} from '../../src/util/sleep.js';
import {createDatagramRelay} from './create-datagram-relay.js';
import {createLink} from './create-link.js';
import {createObjectStoreServer, type ObjectStoreServer} from './create-object-store-server.js';
import {findTestPorts} from './find-test-ports.js';
import {platformObjects} from './platform-objects.js';
import {startTestGateway, type TestGateway} from './start-test-gateway.js';
import {waitUntilReady} from './wait-until-ready.js';

/** Time in which hosts hear of each other. */
const settleMs = 1300;

/** A host that can be cut off from the store and from other hosts. */
export type SeparableHost = {
	readonly gateway: TestGateway;
	readonly cutFromStore: () => Promise<void>;
	/** Cuts reports and calls between this host and the given ones, both ways. Calls to this host fail for all. */
	readonly cutFromHosts: (others: readonly SeparableHost[]) => Promise<void>;
	readonly heal: () => Promise<void>;
	/** Blocks reports that come from an address. */
	readonly blockReportsFrom: (address: string) => void;
	readonly reports: string;
};

/** Hosts with a link of their own to one store, and relays between them. */
export type SeparableSystem = {
	readonly store: ObjectStoreServer;
	readonly hosts: readonly SeparableHost[];
	readonly stop: () => Promise<void>;
};

/** Starts a store with `upstreams` registered, and hosts in the given failure domains. */
export async function startSeparableSystem(domains: readonly string[], prepare: (store: ObjectStoreServer) => Promise<void>): Promise<SeparableSystem> {
	const advertised = new Map<string, string>();
	const toAdvertised = (text: string): string => text.replaceAll(/127\.0\.0\.1:\d+/gv, address => advertised.get(address) ?? address);
	const store = await createObjectStoreServer(toAdvertised);
	store.put('config', 'main', platformObjects.configuration(1));
	await prepare(store);
	const stops: Array<() => unknown> = [];
	const hosts = await Promise.all(domains.map(async (domain): Promise<SeparableHost> => {
		const [peersPort, reportsPort, relayPort] = await findTestPorts(3);
		const [peers, reports] = [`127.0.0.1:${peersPort}`, `127.0.0.1:${reportsPort}`];
		const toStore = await createLink(store.address);
		const toPeers = await createLink(peers);
		const relay = await createDatagramRelay(relayPort!, reports, toAdvertised);
		advertised.set(peers, toPeers.address).set(reports, relay.address);
		const gateway = await startTestGateway(toStore.address, {
			domain, bounds: {retrySlack: 1000}, peers, reports,
		});
		stops.push(toStore.stop, toPeers.stop, relay.stop);
		const host: SeparableHost = {
			gateway,
			reports,
			async cutFromStore() {
				await toStore.cut('silent');
			},
			async cutFromHosts(others) {
				await toPeers.cut('silent');
				for (const other of others) {
					relay.block(other.reports);
					other.blockReportsFrom(reports);
				}
			},
			async heal() {
				relay.unblock();
				await Promise.all([toStore, toPeers].map(async link => link.heal()));
			},
			blockReportsFrom(address) {
				relay.block(address);
			},
		};
		return host;
	}));
	await waitUntilReady(...hosts.map(({gateway}) => gateway));
	await sleep(settleMs);
	return {
		store,
		hosts,
		async stop() {
			await Promise.all(hosts.map(async ({gateway}) => gateway.stop()));
			store.stop();
			for (const stop of stops) {
				void stop();
			}
		},
	};
}
