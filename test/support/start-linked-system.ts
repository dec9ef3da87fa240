import {type Socket} from 'node:net';
import {adapter} from '../../platform/adapter.js';
import {type GatewayAdapter} from '../../src/forwarding/gateway-adapter.js';
import {sleep} from '../../src/util/sleep.js';
import {createLinkedAdapter} from './create-linked-adapter.js';
import {createLink, type Link, type LinkFault} from './create-link.js';
import {createObjectStoreServer, type ObjectStoreServer} from './create-object-store-server.js';
import {createUpstreamServer, type ReceivedRequest, type UpstreamServer} from './create-upstream-server.js';
import {platformObjects} from './platform-objects.js';
import {startTestGateway, type TestGateway} from './start-test-gateway.js';
import {waitUntilReady} from './wait-until-ready.js';
import {waitUntil} from './wait-until.js';

/** Time in which hosts hear of each other once all are registered. */
const settleMs = 1300;

/** A host with its links to all upstreams. */
export type LinkedHost = {
	readonly gateway: TestGateway;
	readonly domain: string;
	readonly links: readonly Link[];
	/** Cuts the links to all upstreams, or to those with the given indexes. */
	readonly cut: (fault: LinkFault, upstreams?: readonly number[]) => Promise<void>;
	readonly heal: () => Promise<void>;
	/** Stops the host, at once or after a drain; later calls do nothing. */
	readonly stop: (drains?: boolean) => Promise<void>;
};

/** Hosts and upstreams with a relay between each host and each upstream. */
export type LinkedSystem = {
	readonly hosts: readonly LinkedHost[];
	readonly upstreams: readonly UpstreamServer[];
	readonly store: ObjectStoreServer;
	readonly stop: () => Promise<void>;
};

/** Options of `startLinkedSystem`. */
type LinkedSystemOptions = {
	/** Failure domain of each host. */
	readonly domains: readonly string[];
	readonly upstreams?: number;
	readonly respond?: (received: ReceivedRequest, socket: Socket) => void;
	/** Fields of the configuration that differ from the default. */
	readonly configuration?: Record<string, unknown>;
	/** Limits in the settings of each host that differ from the default. */
	readonly bounds?: Record<string, number>;
	/** Calls of the platform's adapter that differ from the default. */
	readonly changed?: Partial<GatewayAdapter>;
};

/** Starts a store, upstreams and hosts. */
export async function startLinkedSystem({domains, upstreams: count = 3, respond, configuration = {}, bounds = {}, changed = {}}: LinkedSystemOptions): Promise<LinkedSystem> {
	const store = await createObjectStoreServer();
	const defaults = platformObjects.configuration(1);
	store.put('config', 'main', {...defaults, services: defaults.services.map(service => ({...service, max_conns: 4000})), ...configuration});
	const upstreams = await Promise.all(Array.from({length: count}, async () => createUpstreamServer()));
	for (const [index, upstream] of upstreams.entries()) {
		upstream.answer = respond ?? upstream.answer;
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {born: 1_700_000_000_000 + index, slots: 64}));
	}

	const hosts = await Promise.all(domains.map(async (domain): Promise<LinkedHost> => {
		const links = await Promise.all(upstreams.map(async ({address}) => createLink(address)));
		const byAddress = new Map(upstreams.map(({address}, index) => [address, links[index]!.address]));
		const gateway = await startTestGateway(store.address, {domain, bounds}, {...createLinkedAdapter(address => byAddress.get(address) ?? address), ...changed});
		let stopped: Promise<void> | undefined;
		return {
			gateway,
			domain,
			links,
			async cut(fault, indexes) {
				await Promise.all(links.filter((_, index) => indexes?.includes(index) ?? true).map(async link => link.cut(fault)));
			},
			async heal() {
				await Promise.all(links.map(async link => link.heal()));
			},
			async stop(drains = false) {
				stopped ??= drains ? gateway.drain() : gateway.stop();
				await stopped;
			},
		};
	}));
	await waitUntilReady(...hosts.map(({gateway}) => gateway));
	// A host is ready also while its registration fails, which it repeats.
	await waitUntil('the hosts to be registered', () => store.copy().kinds.get(adapter.kinds.hosts)?.size === domains.length);
	await sleep(settleMs);
	return {
		hosts,
		upstreams,
		store,
		async stop() {
			await Promise.all(hosts.map(async host => host.stop()));
			store.stop();
			for (const {links} of hosts) {
				for (const link of links) {
					link.stop();
				}
			}

			for (const upstream of upstreams) {
				upstream.stop();
			}
		},
	};
}
