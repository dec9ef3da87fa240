import {adapter} from '../../platform/adapter.js';
import {createEvacuations} from '../../src/evacuations/create-evacuations.js';
import {createPeerConfirmation} from '../../src/evacuations/create-peer-confirmation.js';
import {type Evacuations} from '../../src/evacuations/evacuations.js';
import {createWeightAges} from '../../src/decide/weights/create-weight-ages.js';
import {createObjectWatcher} from '../../src/object-store/create-object-watcher.js';
import {createStateSync} from '../../src/object-store/create-state-sync.js';
import {createStoredState} from '../../src/object-store/create-stored-state.js';
import {type HostStatus} from '../../src/reports/host-status.js';
import {type KnownHost} from '../../src/reports/known-host.js';
import {type StateQuery} from '../../src/object-store/state-query.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createEpochCheckedStore} from '../../src/object-store/create-epoch-checked-store.js';
import {createEpochTracker} from '../../src/object-store/create-epoch-tracker.js';
import {type PeerRpc} from '../../src/peers/peer-rpc.js';
import {type createSimulatedStore} from './create-simulated-store.js';

const reportMs = 100;
const {kinds} = adapter;

/** A host as far as it knows the stored state. */
export type StateHost = {
	readonly name: string;
	readonly storedState: ReturnType<typeof createStoredState>;
	readonly evacuations: Evacuations;
	/** Failure domains that came back into service, each time that they did. */
	readonly returned: readonly string[];
	/** Returns how often the host has told a peer its state. */
	readonly answered: () => number;
	/** Whether the host reaches the store, the other hosts, or neither. */
	readonly links: {store: boolean; peers: boolean};
};

/** Starts hosts one by one that follow a simulated store and report to each other. */
export function startStateHosts(store: ReturnType<typeof createSimulatedStore>, {hasEvacuations = false} = {}) {
	const hosts: Array<StateHost & {readonly sync: ReturnType<typeof createStateSync>; readonly answerPull: (query: StateQuery) => ReturnType<ReturnType<typeof createStateSync>['answer']>; readonly stop: () => void}> = [];

	const start = (name: string, isWatching: boolean, responseDelayMs = () => 0, onUpstreamsChange: (upstreams: readonly Upstream[]) => void = () => undefined): StateHost => {
		const links = {store: true, peers: true};
		const epochs = createEpochTracker(Date.now);
		const opened = createEpochCheckedStore(store.open({isReachable: () => links.store, epochs, responseDelayMs}), epochs);
		const clocks = {suspendAware: Date.now, monotonic: Date.now};
		const storedState = createStoredState(adapter, {onServicesChange: () => undefined, onUpstreamsChange}, clocks, createWeightAges(clocks));
		const listOthers = () => hosts.filter(host => host.name !== name && host.links.peers && links.peers);
		const returned: string[] = [];
		let answered = 0;
		const confirmation = createPeerConfirmation({
			listHosts: () => listOthers().map(other => ({peers: other.name})),
			pull: async address => sync.pull(address),
			random: () => 0.5,
		});
		const evacuations = createEvacuations({
			kind: kinds.evacuations,
			isEnabled: hasEvacuations,
			hasAskedPeers: confirmation.hasAsked,
			listUpstreams: () => [],
			onReturned(domain) {
				returned.push(domain);
			},
			onRequest: () => undefined,
			now: Date.now,
			random: () => 0.5,
		});
		const watchers = [
			{kind: kinds.configuration, onChange: storedState.applyConfiguration, getVersion: storedState.getConfigurationVersion},
			{kind: kinds.upstreams, onChange: storedState.applyUpstreams},
			{kind: kinds.weights, onChange: storedState.applyWeights, getVersion: storedState.getWeightsVersion},
			...evacuations.watched,
		].map(({kind, ...watched}) => createObjectWatcher({
			kind, store: opened, now: Date.now, random: () => 0.5, waitMs: () => 2000, isWatching: () => isWatching, ...watched,
		}));
		const call = (async (address: string, _method: string, query: StateQuery) => {
			const peer = listOthers().find(host => host.name === address);
			if (!peer) {
				throw new Error('peer is unreachable');
			}

			return {states: peer.answerPull(query)};
		}) as unknown as PeerRpc;
		const sync = createStateSync({
			domain: 'domain-a', watchers, call, alive: () => listOthers().map(host => ({peers: host.name, domain: 'domain-a'}) as KnownHost), seeds: () => [],
			now: Date.now, random: () => 0.5, partitionedAfterMs: 2900, isWatching: () => isWatching, weightsKind: kinds.weights, upstreamsKind: kinds.upstreams,
		});
		confirmation.start();
		const report = setInterval(() => {
			for (const other of listOthers()) {
				other.sync.compareStatus({
					host: name, domain: 'domain-a', peers: name, reports: name, linkMbps: 1000, everyMs: reportMs,
					...sync.status(), isStoreLost: false, weightsAgeMs: undefined,
				} satisfies HostStatus);
			}
		}, reportMs);
		const host = {
			name, storedState, evacuations, returned, links, sync,
			answered: () => answered,
			answerPull(query: StateQuery) {
				answered++;
				return sync.answer(query);
			},
			stop() {
				clearInterval(report);
				sync.stop();
				for (const watcher of watchers) {
					watcher.stop();
				}
			},
		};
		hosts.push(host);
		return host;
	};

	return {
		start,
		all: (): readonly StateHost[] => hosts,
		stop() {
			for (const host of hosts) {
				host.stop();
			}
		},
	};
}
