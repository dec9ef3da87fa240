import {randomUUID} from 'node:crypto';
import {createServiceLatencyModel} from './decide/forwarding/create-service-latency-model.js';
import {getOwnerRank} from './decide/membership/get-owner-rank.js';
import {createSlidingWindowRetryBudget} from './decide/retries/create-sliding-window-retry-budget.js';
import {createCallerPort} from './forwarding/create-caller-port.js';
import {createContextPlanner} from './forwarding/create-context-planner.js';
import {createCrashWatch} from './forwarding/create-crash-watch.js';
import {createForwarder} from './forwarding/create-forwarder.js';
import {createFreeTask} from './forwarding/create-free-task.js';
import {createGatewayMetrics} from './forwarding/create-gateway-metrics.js';
import {createHostLinks} from './forwarding/create-host-links.js';
import {createKeptTask} from './forwarding/create-kept-task.js';
import {createKindWatch} from './forwarding/create-kind-watch.js';
import {createLeaseStore} from './forwarding/create-lease-store.js';
import {createPlacer} from './forwarding/create-placer.js';
import {createRelayedLeaseStore} from './forwarding/create-relayed-lease-store.js';
import {createRolloutLease} from './forwarding/create-rollout-lease.js';
import {createRolloutTask} from './forwarding/create-rollout-task.js';
import {createStateSync} from './forwarding/create-state-sync.js';
import {createStatusPort} from './forwarding/create-status-port.js';
import {createStoredState} from './forwarding/create-stored-state.js';
import {createUpstreamBook} from './forwarding/create-upstream-book.js';
import {type GatewayAdapter} from './forwarding/gateway-adapter.js';
import {type KnownHost} from './forwarding/known-host.js';
import {type LoadNews} from './forwarding/load-news.js';
import {type StoredObject} from './forwarding/stored-object.js';
import {parseAddress} from './http/parse-address.js';
import {log} from './observe/log.js';
import {createPeerCaller} from './peers/create-peer-caller.js';
import {createPeerServer} from './peers/create-peer-server.js';
import {compareGatewaySettings} from './settings/compare-gateway-settings.js';
import {type GatewaySettings} from './settings/gateway-settings.js';
import {createElapsedClock} from './util/create-elapsed-clock.js';
import {createLastResult} from './util/create-last-result.js';
import {memoize} from './util/memoize.js';
import {sleep} from './util/sleep.js';

const msPerS = 1000;
/** A few hosts ask the store again this often, which bounds how long a silent connection hides a change from them. */
const closeWatchMs = 2000;
const closeWatchers = 2;
const domainWatchers = 3;
/** The other hosts ask less often: reports of peers tell them of changes that their own connection does not bring. */
const watchMs = 10_000;
/** Time beyond a watch's wait after which the store is taken for silent. */
const watchSilenceMs = 900;
/** An engine that takes new weights is passed over for this long after each report of it. */
const loadingMs = 400;
/** A host that has started leaves what few hosts do for all to the others for this long, in which it hears who they are. */
const settleMs = 1000;
/** The balancer takes a host out after two questions a second apart. */
const leaveMs = 2500;
/** Time kept of the grace for closing down. */
const exitMarginMs = 400;
/** Hosts that share budgets and connections, until the store has named them. */
const assumedHosts = 3;
const leastConnections = 4;

/** A running gateway host. */
type Gateway = {
	/** Stops taking new callers, finishes the requests under way and stops. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
	/** Takes settings that have changed while the host runs. */
	readonly reload: (settings: GatewaySettings) => void;
};

/** Wires the parts of one gateway host together and starts it. */
export async function startGateway(settings: GatewaySettings, adapter: GatewayAdapter): Promise<Gateway> {
	const {name, domain} = settings;
	let live = settings;
	const {kinds} = adapter;
	const now = (): number => performance.now();
	const elapsed = createElapsedClock(now, Date.now);
	const {random} = Math;
	const metrics = createGatewayMetrics();
	const startedAt = elapsed();
	const hasSettled = (): boolean => elapsed() - startedAt >= settleMs;
	let isDraining = false;

	const store = adapter.openStore(settings.objectStore, method => {
		metrics.storeCalls.inc({method});
	});
	const control = adapter.openControl();
	const peerCaller = createPeerCaller(undefined, () => false, () => undefined);

	const self = {
		host: name, domain, peers: settings.peers, reports: settings.reports, linkMbps: settings.linkMbps,
	};
	const links = createHostLinks({
		self,
		store,
		kind: kinds.hosts,
		now,
		makeReport() {
			const loading = rollout.loading();
			passOver(loading);
			return {
				loads: book.loads(), loading, weights: rollout.news(), changes: sync.changes(), weightsAgeMs: ageOf(sync.weightsConfirmedAt()), crashes: crashes.news(),
				isStoreLost: watches.some(watch => watch.isLost()),
			};
		},
		onLoads(source, news) {
			book.noteLoads(source, news.loads, now());
			passOver(news.loading);
			for (const [id, model, version] of news.weights) {
				book.noteWeights(id, model, version);
			}

			crashes.take(news.crashes);
		},
		onStatus(status) {
			sync.compare(status);
			free.noteStatus(status);
		},
		onKeptNews(news) {
			kept.take(news);
		},
	});
	const namesOf = createLastResult((peers: readonly KnownHost[]) => peers.map(peer => peer.host));
	const others = (): readonly string[] => namesOf(links.alive());
	const hosts = (): number => Math.max(assumedHosts, links.count());

	const book = createUpstreamBook({
		now,
		connectionsOf: service => Math.max(leastConnections, Math.floor((stored.serviceOf(service)?.maxConnections ?? 0) / hosts())),
		link: upstream => adapter.openLink(upstream.address, () => {
			metrics.connections.inc({service: upstream.service});
		}),
	});
	const passOver = (loading: LoadNews['loading']): void => {
		for (const [id] of loading) {
			book.avoid(id, now() + loadingMs);
		}
	};

	const crashes = createCrashWatch({control, now});
	const kept = createKeptTask({
		self, control, call: peerCaller.call, others: links.alive, tell: links.tell, hasSettled, now: elapsed, random,
	});
	const stored = createStoredState(adapter, {
		onServices: kept.apply,
		onUpstreams: book.apply,
	}, elapsed);
	const takeWeights = (objects: readonly StoredObject[], confirmedAt: number | undefined): void => {
		stored.takeWeights(objects, Math.max(confirmedAt ?? Number.NEGATIVE_INFINITY, sync.peerConfirmedAt()));
	};

	/** In a large failure domain a few hosts that the store answers follow it; reports tell the others of changes. */
	const isWatching = (kind: string): boolean => {
		if (!hasSettled()) {
			return false;
		}

		const able = links.alive().filter(peer => peer.domain === domain && !peer.isStoreLost).map(peer => peer.host);
		return getOwnerRank(name, able, kind) < domainWatchers;
	};

	const watches = [
		[kinds.configuration, stored.takeConfiguration] as const,
		[kinds.upstreams, stored.takeUpstreams] as const,
		[kinds.weights, takeWeights] as const,
	].map(([kind, onChange]) => createKindWatch({
		kind, store, now: elapsed, random, onChange,
		waitMs: () => getOwnerRank(name, others(), kind) < closeWatchers ? closeWatchMs : watchMs,
		isWatching: () => isWatching(kind),
	}));
	const sync = createStateSync({
		domain,
		watches,
		call: peerCaller.call,
		alive: links.alive,
		seeds: () => live.seeds.filter(seed => seed !== settings.peers),
		now: elapsed,
		random,
		silentMs: watchMs + watchSilenceMs,
		isWatching,
		weightsKind: kinds.weights,
	});
	const ownLease = createLeaseStore(store, kinds.leases, 'rollout');
	const rollout = createRolloutTask({
		self: name,
		lease: createRolloutLease({
			self: name, run: randomUUID(), others, leaseMs: settings.bounds.leaseMs, now: elapsed,
			store: createRelayedLeaseStore({
				own: ownLease, call: peerCaller.call, alive: links.alive, random,
			}),
		}),
		control,
		book,
		named: stored.weights,
		now: elapsed,
	});

	const free = createFreeTask({
		control, stores: kept.stores, isPoller: kept.isPoller, namings: stored.namings, weightsKind: kinds.weights, listHosts: links.listAll, now: elapsed,
	});
	const ageOf = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.max(0, Math.round(elapsed() - at));

	const budgetOf = memoize((_service: string) => createSlidingWindowRetryBudget({
		limits: () => ({ratio: live.bounds.retryRatio, slack: live.bounds.retrySlack}), windowMs: settings.bounds.retryWindowS * msPerS, hosts,
	}));
	const paceOf = memoize((_service: string) => createServiceLatencyModel());
	const forward = createForwarder({
		book,
		crashes,
		budgetOf,
		now,
		random,
		place: createPlacer({
			domain, book, serviceOf: stored.serviceOf, paceOf, newerNaming: stored.newerNaming, versionMs: () => live.bounds.versionMs, now, elapsed, random,
			others: () => ({count: links.alive().length, reportAgeMs: links.reportAgeMs()}),
			planContext: createContextPlanner({
				book, kept, newerNaming: stored.newerNaming, weightsConfirmedAt: sync.weightsConfirmedAt, now: elapsed,
			}),
		}),
		paceOf,
		urgentObjectiveOf: stored.urgentObjectiveOf,
		encode: adapter.encodeRequest,
		onEnd({route}, result, tookMs) {
			metrics.ended.inc({kind: route.kind, result});
			metrics.took.observe({kind: route.kind}, tookMs / msPerS);
		},
	});

	const peerServer = await createPeerServer(settings.peers, undefined, {
		'gateway.state': async ({revisions}) => ({states: sync.answer(revisions)}),
		'gateway.lease': async ({write}) => ({object: (write ? await ownLease.write(write.value, write.revision) : await ownLease.read()) ?? null}),
		'gateway.kept': async ({store: asked, known}) => kept.list(asked, known),
	}, () => false);
	await links.start();
	const callers = await createCallerPort({
		address: settings.callers,
		state: stored.state,
		decode: adapter.decodeRequest,
		nameRequest: adapter.nameRequest,
		forward,
		now,
		onRefusal(refusal) {
			metrics.refusals.inc({kind: refusal.kind});
		},
	});
	const isReady = (): boolean => !isDraining && stored.state() !== undefined && book.all().length > 0;
	const readiness = await createStatusPort(settings.readiness, [
		{path: adapter.readinessPath, answer: () => ({status: isReady() ? 200 : 503, text: ''})},
	]);
	const {host} = parseAddress(settings.callers);
	const metricsPort = await createStatusPort(`${host}:${settings.metricsPort}`, [{
		path: '/metrics',
		async answer() {
			metrics.underWay.set(callers.underWay());
			return {status: 200, text: await metrics.registry.metrics()};
		},
	}]);

	const stop = async (): Promise<void> => {
		for (const part of [...watches, links, sync, rollout, free, kept, callers, readiness, metricsPort]) {
			part.stop();
		}

		await Promise.all([peerServer.stop(), peerCaller.stop(), control.stop(), store.stop()]);
	};

	log.info({
		host: name, domain, callers: settings.callers, store: settings.objectStore,
	}, 'host started');
	return {
		async drain() {
			if (isDraining) {
				return;
			}

			isDraining = true;
			const leavingAt = now();
			const limitMs = (live.bounds.graceS * msPerS) - exitMarginMs;
			callers.drain(leavingAt + Math.min(leaveMs, limitMs), leavingAt + limitMs);
			log.info({host: name, underWay: callers.underWay()}, 'leaving');
			await sleep(Math.min(leaveMs, limitMs));
			callers.closeIdle();
			await Promise.race([callers.idle(), sleep(limitMs - (now() - leavingAt))]);
			log.info({host: name, underWay: callers.underWay()}, 'left');
			await stop();
		},
		stop,
		reload(changed) {
			const change = compareGatewaySettings(live, changed);
			live = changed;
			log.info({host: name, changed: change.live, atNextStart: change.atStart}, 'settings changed');
		},
	};
}
