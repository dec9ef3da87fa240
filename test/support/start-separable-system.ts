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
	readonly name: string;
	readonly domain: string;
	readonly cutFromStore: () => Promise<void>;
	/** Cuts reports and calls between this host and the given ones, both ways. Calls to this host fail for all. */
	readonly cutFromHosts: (others: readonly SeparableHost[]) => Promise<void>;
	readonly heal: () => Promise<void>;
	/** Ends the host at once: nothing is told or stored first. */
	readonly kill: () => Promise<void>;
	/** Stops the host as planned. */
	readonly drain: () => Promise<void>;
	/** Blocks reports that come from an address. */
	readonly blockReportsFrom: (address: string) => void;
	readonly reports: string;
};

/** Hosts with a link of their own to one store, and relays between them. */
export type SeparableSystem = {
	readonly store: ObjectStoreServer;
	readonly hosts: readonly SeparableHost[];
	/** Starts a further host, or one that was killed again under its name; resolves once it is ready. */
	readonly addHost: (domain: string, name?: string) => Promise<SeparableHost>;
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
	const running = new Set<SeparableHost>();
	let started = 0;
	const startHost = async (domain: string, name = `host-of-${domain}-${++started}`): Promise<SeparableHost> => {
		const [peersPort, reportsPort, relayPort] = await findTestPorts(3);
		const [peers, reports] = [`127.0.0.1:${peersPort}`, `127.0.0.1:${reportsPort}`];
		const toStore = await createLink(store.address);
		const toPeers = await createLink(peers);
		const relay = await createDatagramRelay(relayPort!, reports, toAdvertised);
		advertised.set(peers, toPeers.address).set(reports, relay.address);
		const gateway = await startTestGateway(toStore.address, {
			name, domain, bounds: {retrySlack: 1000}, peers, reports,
		});
		stops.push(toStore.stop, toPeers.stop, relay.stop);
		const host: SeparableHost = {
			gateway,
			name,
			domain,
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
			async kill() {
				if (running.delete(host)) {
					await gateway.stop();
				}
			},
			async drain() {
				if (running.delete(host)) {
					await gateway.drain();
				}
			},
			blockReportsFrom(address) {
				relay.block(address);
			},
		};
		running.add(host);
		return host;
	};

	const hosts = await Promise.all(domains.map(async domain => startHost(domain)));
	await waitUntilReady(...hosts.map(({gateway}) => gateway));
	await sleep(settleMs);
	return {
		store,
		hosts,
		async addHost(domain, name) {
			const host = await startHost(domain, name);
			await waitUntilReady(host.gateway);
			return host;
		},
		async stop() {
			await Promise.all([...running].map(async host => host.kill()));
			store.stop();
			for (const stop of stops) {
				void stop();
			}
		},
	};
}
