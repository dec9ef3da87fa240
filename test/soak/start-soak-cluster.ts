import {createObjectStoreServer, type ObjectStoreCopy, type ObjectStoreServer} from '../support/create-object-store-server.js';
import {platformObjects} from '../support/platform-objects.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {createReportRelay} from './create-report-relay.js';
import {createSoakHost, type SoakHost} from './create-soak-host.js';
import {createSoakUpstream, type SoakUpstream} from './create-soak-upstream.js';
import {createTcpProxy, type TcpProxy} from './create-tcp-proxy.js';
import {type AskedRest, type RecordedOrder, type UpstreamRun} from './soak-history.js';

const upstreamCount = 5;
const domains = ['domain-a', 'domain-b'] as const;
const portsPerHost = 8;
const crashDownMs = 1500;
const copyIntervalMs = 500;
const maxCopies = 24;
/** Time after which the operator and the upstreams have written again what the store lost. */
const rewriteAfterMs = 700;
/** Kinds of objects that the operator and the upstreams write. */
const rewrittenKinds = ['config', 'versions', 'servers'] as const;

/** A host, the proxy between it and the object store, and the proxy between the other hosts and it. */
type HostWithProxies = {readonly host: SoakHost; readonly toStore: TcpProxy; readonly toHost: TcpProxy};
/** An upstream and the proxy in front of it. */
type UpstreamWithProxy = {readonly upstream: SoakUpstream; readonly link: TcpProxy};

/** Host processes, stand-ins for their dependencies, and proxies in between. */
export type SoakCluster = {
	readonly store: ObjectStoreServer;
	readonly hosts: readonly HostWithProxies[];
	/** The registered upstreams. */
	readonly upstreams: UpstreamWithProxy[];
	/** Registers one more upstream. */
	readonly addUpstream: () => Promise<void>;
	/** Publishes a configuration with or without the route `r-extra`. */
	readonly publishConfiguration: (hasExtra: boolean) => void;
	/** Returns the store to its newest copy of at least this age; what its operator and the upstreams wrote since follows. */
	readonly restoreStore: (ageMs: number) => void;
	readonly stop: () => void;
};

/** Options and callbacks of a soak cluster. */
type SoakClusterOptions = {
	readonly folder: string;
	readonly hostCount: number;
	readonly random: () => number;
	readonly onRun: (run: UpstreamRun) => void;
	readonly onOrder: (order: RecordedOrder) => void;
	readonly onUnexpectedExit: (host: string) => void;
	/** Called when an upstream has turned a request away and asked for rest. */
	readonly onRest: (rest: AskedRest) => void;
	/** Called when a request has crashed an upstream, which is down for `downMs`. */
	readonly onCrash: (upstream: string, downMs: number) => void;
};

/** Starts a cluster of hosts and five upstreams in two failure domains. */
export async function startSoakCluster({folder, hostCount, random, onRun, onOrder, onUnexpectedExit, onRest, onCrash}: SoakClusterOptions): Promise<SoakCluster> {
	const advertisedAddresses = new Map<string, string>();
	const store = await createObjectStoreServer(text => text.replaceAll(/127\.0\.0\.1:\d+/gv, address => advertisedAddresses.get(address) ?? address));
	const upstreams: UpstreamWithProxy[] = [];
	const stopFunctions: Array<() => void> = [store.stop];
	let addedUpstreams = 0;
	let configurationVersion = 0;

	const publishConfiguration = (hasExtra: boolean): void => {
		configurationVersion++;
		const {routes} = platformObjects.configuration(configurationVersion);
		const extra = platformObjects.route({name: 'r-extra', path_prefix: '/extra/'});
		store.put('config', 'main', platformObjects.configuration(configurationVersion, {routes: hasExtra ? [...routes, extra] : routes}));
	};

	const addUpstream = async (): Promise<void> => {
		const id = `i-${addedUpstreams++}`;
		const softwareVersion = `v${Math.ceil(addedUpstreams / upstreamCount)}`;
		const upstream = await createSoakUpstream(id, softwareVersion, random, {
			onRun, onOrder, onRest(rest) {
				onRest({upstream: id, ...rest});
			}, onCrash() {
				onCrash(id, crashDownMs);
				link.crash(crashDownMs, registerStart);
			},
		});
		const [port] = await findTestPorts(1);
		const link = await createTcpProxy(port!, upstream.address);
		/** Registers that it started again under its id, unless it has been replaced. */
		const registerStart = (): void => {
			const entry = store.get('servers', id)?.spec as Record<string, unknown> | undefined;
			if (entry) {
				store.put('servers', id, {...entry, born: Date.now()});
			}
		};

		upstreams.push({upstream, link});
		stopFunctions.push(upstream.stop, link.stop);
		store.put('servers', id, platformObjects.upstream(link.address, {
			version: softwareVersion, zone: domains[addedUpstreams % domains.length], models: [{name: 'm', version: 1, adapters: []}], born: Date.now(),
		}));
	};

	const copies: Array<{readonly copy: ObjectStoreCopy; readonly at: number}> = [];
	const copyTimer = setInterval(() => {
		copies.push({copy: store.copy(), at: performance.now()});
		copies.splice(0, copies.length - maxCopies);
	}, copyIntervalMs);
	stopFunctions.push(() => {
		clearInterval(copyTimer);
	});

	const restoreStore = (ageMs: number): void => {
		const chosen = copies.findLast(({at}) => performance.now() - at >= ageMs) ?? copies[0];
		if (!chosen) {
			return;
		}

		const lost = store.copy();
		store.restore(chosen.copy);
		copies.length = 0;
		const restored = store.copy();
		const isUntouched = (kind: string, name: string): boolean =>
			store.get(kind, name)?.metadata.revision === restored.kinds.get(kind)?.get(name)?.metadata.revision;
		setTimeout(() => {
			for (const kind of rewrittenKinds) {
				const before = lost.kinds.get(kind) ?? new Map<string, never>();
				for (const [name, object] of before) {
					if (isUntouched(kind, name)) {
						store.put(kind, name, object.spec);
					}
				}

				for (const name of restored.kinds.get(kind)?.keys() ?? []) {
					if (!before.has(name)) {
						store.remove(kind, name);
					}
				}
			}
		}, rewriteAfterMs);
	};

	const startHost = async (index: number): Promise<HostWithProxies> => {
		const ports = await findTestPorts(portsPerHost);
		const [callers, readiness, peers, reports, peersProxy, relayPort, storeProxy, metricsPort] = ports.map(port => `127.0.0.1:${port}`);
		const toStore = await createTcpProxy(ports[6]!, store.address);
		const toHost = await createTcpProxy(ports[4]!, peers!);
		/** Requests that hosts hand on to each other come over TCP to the address of reports. */
		const toRelayed = await createTcpProxy(ports[5]!, reports!);
		const relay = await createReportRelay(ports[5]!, reports!, toHost.state, advertisedAddresses);
		advertisedAddresses.set(peers!, peersProxy!).set(reports!, relayPort!);
		const host = createSoakHost({
			name: `host-${index}`, domain: domains[index % domains.length], region: 'region-a', callers, readiness, peers, reports,
			metricsPort: Number(metricsPort!.split(':')[1]), objectStore: storeProxy,
		}, folder, onUnexpectedExit);
		stopFunctions.push(host.stop, toStore.stop, toHost.stop, toRelayed.stop, relay.stop);
		return {host, toStore, toHost};
	};

	publishConfiguration(true);
	store.put('versions', 'm', {model: 'm', version: 1});
	for (let count = 0; count < upstreamCount; count++) {
		await addUpstream();
	}

	const hosts: HostWithProxies[] = [];
	for (let index = 0; index < hostCount; index++) {
		hosts.push(await startHost(index));
	}

	return {
		store, hosts, upstreams, addUpstream, publishConfiguration, restoreStore,
		stop() {
			for (const stop of stopFunctions) {
				stop();
			}
		},
	};
}
