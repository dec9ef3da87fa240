import {sleep} from '../../src/util/sleep.js';
import {type Fault, type FaultKind} from './fault.js';
import {type OperatorChange} from './soak-history.js';
import {type SoakCluster} from './start-soak-cluster.js';

const linkDelayMs = 300;
const brokenResponseShare = 0.4;
/** Age of the copy that the store returns from. */
const minCopyAgeMs = 1000;
const maxCopyAgeMs = 10_000;
const drainMs = 4000;
const shutdownMs = 8000;

/** State that faults change, and callbacks that record changes for the checks. */
export type FaultContext = {
	readonly cluster: SoakCluster;
	/** Version of the desired weights published last. */
	desiredWeightsVersion: number;
	hasExtraRoute: boolean;
	readonly onChange: (change: OperatorChange) => void;
};

/** Starts a fault. Returns the scope that it disturbs, a function that ends it, and its duration where that differs from the plan. */
type Effect = (context: FaultContext, fault: Fault) => {readonly scope: string; readonly end?: () => void; readonly durationMs?: number};

const pickHost = ({cluster}: FaultContext, {targetFraction}: Fault) => cluster.hosts[Math.floor(targetFraction * cluster.hosts.length)]!;
const pickUpstream = ({cluster}: FaultContext, {targetFraction}: Fault) => cluster.upstreams[Math.floor(targetFraction * cluster.upstreams.length)]!;

const withSignals = (startSignal: NodeJS.Signals, endSignal?: NodeJS.Signals, durationMs?: number): Effect => (context, fault) => {
	const {host} = pickHost(context, fault);
	host.sendSignal(startSignal);
	return {
		scope: `host ${host.name}`, ...(endSignal && {
			end() {
				host.sendSignal(endSignal);
			},
		}), ...(durationMs !== undefined && {durationMs}),
	};
};

const withLink = (side: 'toStore' | 'toHost', set: (link: SoakCluster['hosts'][number]['toStore'], isOn: boolean) => void): Effect => (context, fault) => {
	const links = pickHost(context, fault);
	set(links[side], true);
	return {
		scope: `host ${links.host.name}`, end() {
			set(links[side], false);
		},
	};
};

const withUpstream = (set: (link: SoakCluster['upstreams'][number], isOn: boolean) => void): Effect => (context, fault) => {
	const upstream = pickUpstream(context, fault);
	set(upstream, true);
	return {
		scope: `upstream ${upstream.upstream.id}`, end() {
			set(upstream, false);
		},
	};
};

const withStore = (set: (context: FaultContext, isOn: boolean) => void): Effect => context => {
	set(context, true);
	return {
		scope: 'store', end() {
			set(context, false);
		},
	};
};

const setBlocked = ({state}: {readonly state: SoakCluster['hosts'][number]['toStore']['state']}, isOn: boolean): void => {
	state.isInboundBlocked = isOn;
	state.isOutboundBlocked = isOn;
};

const replaceUpstream: Effect = (context, fault) => {
	const {cluster, onChange} = context;
	const [leaving] = cluster.upstreams.splice(Math.floor(fault.targetFraction * cluster.upstreams.length), 1);
	const {id} = leaving!.upstream;
	void cluster.addUpstream().then(async () => {
		const entry = cluster.store.get('servers', id)!.spec as Record<string, unknown>;
		cluster.store.put('servers', id, {...entry, state: 'draining'});
		leaving!.upstream.isLeaving = true;
		onChange({kind: 'leaving', what: id, at: performance.now()});
		await sleep(drainMs);
		cluster.store.remove('servers', id);
		leaving!.link.state.refusesConnections = true;
	});
	return {scope: `upstream ${id}`, durationMs: drainMs};
};

/** Implementation of each kind of fault. */
export const faultEffects: Readonly<Record<FaultKind, Effect>> = {
	'host stops': withSignals('SIGTERM', undefined, shutdownMs),
	'host is killed': withSignals('SIGKILL'),
	'host pauses': withSignals('SIGSTOP', 'SIGCONT'),
	'host clock steps': withSignals('SIGUSR2', 'SIGUSR2'),
	'host reads settings'(context, fault) {
		const {host} = pickHost(context, fault);
		host.writeSettings({bounds: {retryRatio: 0.1 + (fault.targetFraction / 10)}});
		host.sendSignal('SIGHUP');
		return {scope: `host ${host.name}`};
	},
	'store is silent': withStore(({cluster}, isOn) => {
		cluster.store.faults.isUnresponsive = isOn;
	}),
	'store is busy': withStore(({cluster}, isOn) => {
		cluster.store.faults.isUnavailable = isOn;
	}),
	'store loses a write': withStore(({cluster}, isOn) => {
		cluster.store.faults.dropsNextWriteResponse = isOn;
	}),
	'store forgets history': withStore(({cluster}, isOn) => {
		if (isOn) {
			cluster.store.compact();
		}
	}),
	'store returns from an older copy'({cluster}, {targetFraction}) {
		cluster.store.faults.isUnavailable = true;
		return {
			scope: 'store', end() {
				cluster.restoreStore(minCopyAgeMs + (targetFraction * (maxCopyAgeMs - minCopyAgeMs)));
				cluster.store.faults.isUnavailable = false;
			},
		};
	},
	'store link is silent': withLink('toStore', (link, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'store link is cut': withLink('toStore', setBlocked),
	'store link is cut one way': withLink('toStore', ({state}, isOn) => {
		state.isOutboundBlocked = isOn;
	}),
	'store link is slow': withLink('toStore', ({state}, isOn) => {
		state.delayMs = isOn ? linkDelayMs : 0;
	}),
	'peer link is silent': withLink('toHost', (link, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'peer link is cut': withLink('toHost', setBlocked),
	'peer link is slow': withLink('toHost', ({state}, isOn) => {
		state.delayMs = isOn ? linkDelayMs : 0;
	}),
	'upstream link is silent': withUpstream(({link}, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'upstream link is reset': withUpstream(({link}, isOn) => {
		if (isOn) {
			link.resetConnections();
		}
	}),
	'upstream link is cut': withUpstream(({link}, isOn) => {
		setBlocked(link, isOn);
	}),
	'upstream link is cut one way': withUpstream(({link}, isOn) => {
		link.state.isOutboundBlocked = isOn;
	}),
	'upstream breaks answers': withUpstream(({upstream}, isOn) => {
		upstream.broken = isOn ? brokenResponseShare : 0;
	}),
	'upstream is replaced': replaceUpstream,
	'configuration changes'(context) {
		context.hasExtraRoute = !context.hasExtraRoute;
		context.cluster.publishConfiguration(context.hasExtraRoute);
		context.onChange({kind: context.hasExtraRoute ? 'added' : 'removed', what: 'r-extra', at: performance.now()});
		return {scope: 'configuration'};
	},
	'weights are named'(context) {
		context.desiredWeightsVersion++;
		context.cluster.store.put('versions', 'm', {model: 'm', version: context.desiredWeightsVersion});
		return {scope: 'weights'};
	},
};
