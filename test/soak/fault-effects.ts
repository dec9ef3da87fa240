import {sleep} from '../../src/util/sleep.js';
import {type Fault, type FaultKind} from './fault.js';
import {type OperatorChange} from './soak-history.js';
import {type SoakCluster} from './start-soak-cluster.js';

const slowMs = 300;
const brokenShare = 0.4;
const leavingMs = 4000;
const termMs = 8000;

/** What faults change for the checks to know. */
export type FaultContext = {
	readonly cluster: SoakCluster;
	/** Version of the weights named last. */
	desiredWeightsVersion: number;
	hasExtraRoute: boolean;
	readonly onChange: (change: OperatorChange) => void;
};

/** How a fault is made; gives what it disturbs and, when a time has passed, ends it. */
type Effect = (scene: FaultContext, fault: Fault) => {readonly scope: string; readonly end?: () => void; readonly forMs?: number};

const pickHost = ({cluster}: FaultContext, {targetFraction}: Fault) => cluster.hosts[Math.floor(targetFraction * cluster.hosts.length)]!;
const pickUpstream = ({cluster}: FaultContext, {targetFraction}: Fault) => cluster.upstreams[Math.floor(targetFraction * cluster.upstreams.length)]!;

const signalling = (first: NodeJS.Signals, last?: NodeJS.Signals, forMs?: number): Effect => (scene, fault) => {
	const {host} = pickHost(scene, fault);
	host.sendSignal(first);
	return {
		scope: `host ${host.name}`, ...(last && {
			end() {
				host.sendSignal(last);
			},
		}), ...(forMs !== undefined && {forMs}),
	};
};

const onLink = (side: 'toStore' | 'toHost', set: (link: SoakCluster['hosts'][number]['toStore'], isOn: boolean) => void): Effect => (scene, fault) => {
	const links = pickHost(scene, fault);
	set(links[side], true);
	return {
		scope: `host ${links.host.name}`, end() {
			set(links[side], false);
		},
	};
};

const onUpstream = (set: (link: SoakCluster['upstreams'][number], isOn: boolean) => void): Effect => (scene, fault) => {
	const upstream = pickUpstream(scene, fault);
	set(upstream, true);
	return {
		scope: `upstream ${upstream.upstream.id}`, end() {
			set(upstream, false);
		},
	};
};

const onStore = (set: (scene: FaultContext, isOn: boolean) => void): Effect => scene => {
	set(scene, true);
	return {
		scope: 'store', end() {
			set(scene, false);
		},
	};
};

const cut = ({state}: {readonly state: SoakCluster['hosts'][number]['toStore']['state']}, isOn: boolean): void => {
	state.isInboundBlocked = isOn;
	state.isOutboundBlocked = isOn;
};

const replaceUpstream: Effect = (scene, fault) => {
	const {cluster, onChange} = scene;
	const [leaving] = cluster.upstreams.splice(Math.floor(fault.targetFraction * cluster.upstreams.length), 1);
	const {id} = leaving!.upstream;
	void cluster.addUpstream().then(async () => {
		const entry = cluster.store.get('servers', id)!.spec as Record<string, unknown>;
		cluster.store.put('servers', id, {...entry, state: 'draining'});
		onChange({kind: 'leaving', what: id, at: performance.now()});
		await sleep(leavingMs);
		cluster.store.remove('servers', id);
		leaving!.link.state.refusesConnections = true;
	});
	return {scope: `upstream ${id}`, forMs: leavingMs};
};

/** Effect of each kind of fault. */
export const faultEffects: Readonly<Record<FaultKind, Effect>> = {
	'host stops': signalling('SIGTERM', undefined, termMs),
	'host is killed': signalling('SIGKILL'),
	'host pauses': signalling('SIGSTOP', 'SIGCONT'),
	'host clock steps': signalling('SIGUSR2', 'SIGUSR2'),
	'host reads settings'(scene, fault) {
		const {host} = pickHost(scene, fault);
		host.writeSettings({bounds: {retryRatio: 0.1 + (fault.targetFraction / 10)}});
		host.sendSignal('SIGHUP');
		return {scope: `host ${host.name}`};
	},
	'store is silent': onStore(({cluster}, isOn) => {
		cluster.store.faults.isUnresponsive = isOn;
	}),
	'store is busy': onStore(({cluster}, isOn) => {
		cluster.store.faults.isUnavailable = isOn;
	}),
	'store loses a write': onStore(({cluster}, isOn) => {
		cluster.store.faults.dropsNextWriteResponse = isOn;
	}),
	'store forgets history': onStore(({cluster}, isOn) => {
		if (isOn) {
			cluster.store.compact();
		}
	}),
	'store link is silent': onLink('toStore', (link, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'store link is cut': onLink('toStore', cut),
	'store link is cut one way': onLink('toStore', ({state}, isOn) => {
		state.isOutboundBlocked = isOn;
	}),
	'store link is slow': onLink('toStore', ({state}, isOn) => {
		state.delayMs = isOn ? slowMs : 0;
	}),
	'peer link is silent': onLink('toHost', (link, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'peer link is cut': onLink('toHost', cut),
	'peer link is slow': onLink('toHost', ({state}, isOn) => {
		state.delayMs = isOn ? slowMs : 0;
	}),
	'upstream link is silent': onUpstream(({link}, isOn) => {
		if (isOn) {
			link.blackholeConnections();
		}
	}),
	'upstream link is reset': onUpstream(({link}, isOn) => {
		if (isOn) {
			link.resetConnections();
		}
	}),
	'upstream link is cut': onUpstream(({link}, isOn) => {
		cut(link, isOn);
	}),
	'upstream link is cut one way': onUpstream(({link}, isOn) => {
		link.state.isOutboundBlocked = isOn;
	}),
	'upstream breaks answers': onUpstream(({upstream}, isOn) => {
		upstream.broken = isOn ? brokenShare : 0;
	}),
	'upstream is replaced': replaceUpstream,
	'configuration changes'(scene) {
		scene.hasExtraRoute = !scene.hasExtraRoute;
		scene.cluster.publishConfiguration(scene.hasExtraRoute);
		scene.onChange({kind: scene.hasExtraRoute ? 'added' : 'removed', what: 'r-extra', at: performance.now()});
		return {scope: 'configuration'};
	},
	'weights are named'(scene) {
		scene.desiredWeightsVersion++;
		scene.cluster.store.put('versions', 'm', {model: 'm', version: scene.desiredWeightsVersion});
		return {scope: 'weights'};
	},
};
