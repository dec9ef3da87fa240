import {randomUUID} from 'node:crypto';
import {createServiceLatencyModel} from './decide/forwarding/create-service-latency-model.js';
import {getOwnerRank} from './decide/membership/get-owner-rank.js';
import {createSlidingWindowRetryBudget} from './decide/retries/create-sliding-window-retry-budget.js';
import {createGatewayCallerServer} from './forwarding/create-gateway-caller-server.js';
import {createKvReusePlanner} from './forwarding/create-kv-reuse-planner.js';
import {createPoisonRequestDetector} from './forwarding/create-poison-request-detector.js';
import {createForwarder} from './forwarding/create-forwarder.js';
import {createFreeStaleKvTask} from './forwarding/create-free-stale-kv-task.js';
import {createGatewayMetrics} from './forwarding/create-gateway-metrics.js';
import {createHostReportExchange} from './forwarding/create-host-report-exchange.js';
import {createKvStoreTracker} from './forwarding/create-kv-store-tracker.js';
import {createObjectWatcher} from './forwarding/create-object-watcher.js';
import {createLeaseStore} from './forwarding/create-lease-store.js';
import {createRequestPlacer} from './forwarding/create-request-placer.js';
import {createRelayedLeaseStore} from './forwarding/create-relayed-lease-store.js';
import {createRolloutLease} from './forwarding/create-rollout-lease.js';
import {createRolloutTask} from './forwarding/create-rollout-task.js';
import {createStateSync} from './forwarding/create-state-sync.js';
import {createStatusServer} from './forwarding/create-status-server.js';
import {createStoredState} from './forwarding/create-stored-state.js';
import {createUpstreamRegistry} from './forwarding/create-upstream-registry.js';
import {type GatewayAdapter} from './forwarding/gateway-adapter.js';
import {type KnownHost} from './forwarding/known-host.js';
import {type LoadReport} from './forwarding/load-report.js';
import {type StoredObject} from './forwarding/stored-object.js';
import {parseAddress} from './http/parse-address.js';
import {log} from './observe/log.js';
import {createPeerClient} from './peers/create-peer-client.js';
import {createPeerServer} from './peers/create-peer-server.js';
import {compareGatewaySettings} from './settings/compare-gateway-settings.js';
import {type GatewaySettings} from './settings/gateway-settings.js';
import {createSuspendAwareClock} from './util/create-suspend-aware-clock.js';
import {memoizeLast} from './util/memoize-last.js';
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
	const elapsed = createSuspendAwareClock(now, Date.now);
	const {random} = Math;
	const metrics = createGatewayMetrics();
	const startedAt = elapsed();
	const hasSettled = (): boolean => elapsed() - startedAt >= settleMs;
	let isDraining = false;

	const store = adapter.openStore(settings.objectStore, method => {
		metrics.platformCallsTotal.inc({method});
	});
	const control = adapter.openEngineClient();
	const peerCaller = createPeerClient(undefined, () => false, () => undefined);

	const self = {
		host: name, domain, peers: settings.peers, reports: settings.reports, linkMbps: settings.linkMbps,
	};
	const links = createHostReportExchange({
		self,
		store,
		kind: kinds.hosts,
		now,
		makeReport() {
			const loading = rollout.loading();
			passOver(loading);
			return {
				loads: book.loads(), loading, weights: rollout.news(), changes: sync.changes(), weightsAgeMs: ageOf(sync.weightsConfirmedAt()), crashes: crashes.news(),
				isStoreLost: watches.some(watch => watch.isStoreUnreachable()),
			};
		},
		onLoads(source, news) {
			book.recordRemoteLoads(source, news.loads, now());
			passOver(news.loading);
			for (const [id, model, version] of news.weights) {
				book.recordWeights(id, model, version);
			}

			crashes.addRemoteCrashes(news.crashes);
		},
		onStatus(status) {
			sync.compareStatus(status);
			free.recordStatus(status);
		},
		onKvStoreUpdate(news) {
			kept.applyUpdate(news);
		},
	});
	const namesOf = memoizeLast((peers: readonly KnownHost[]) => peers.map(peer => peer.host));
	const others = (): readonly string[] => namesOf(links.alive());
	const hosts = (): number => Math.max(assumedHosts, links.countHosts());

	const book = createUpstreamRegistry({
		now,
		maxConnectionsFor: service => Math.max(leastConnections, Math.floor((stored.findService(service)?.maxConnections ?? 0) / hosts())),
		link: upstream => adapter.openConnectionPool(upstream.address, () => {
			metrics.connections.inc({service: upstream.service});
		}),
	});
	const passOver = (loading: LoadReport['loading']): void => {
		for (const [id] of loading) {
			book.ejectUntil(id, now() + loadingMs);
		}
	};

	const crashes = createPoisonRequestDetector({control, now});
	const kept = createKvStoreTracker({
		self, control, call: peerCaller.call, others: links.alive, publishUpdate: links.publishKvUpdate, hasSettled, now: elapsed, random,
	});
	const stored = createStoredState(adapter, {
		onServicesChange: kept.updateServices,
		onUpstreamsChange: book.updateUpstreams,
	}, elapsed);
	const takeWeights = (objects: readonly StoredObject[], confirmedAt: number | undefined): void => {
		stored.applyWeights(objects, Math.max(confirmedAt ?? Number.NEGATIVE_INFINITY, sync.weightsConfirmedByPeerAt()));
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
		[kinds.configuration, stored.applyConfiguration] as const,
		[kinds.upstreams, stored.applyUpstreams] as const,
		[kinds.weights, takeWeights] as const,
	].map(([kind, onChange]) => createObjectWatcher({
		kind, store, now: elapsed, random, onChange,
		waitMs: () => getOwnerRank(name, others(), kind) < closeWatchers ? closeWatchMs : watchMs,
		isWatching: () => isWatching(kind),
	}));
	const sync = createStateSync({
		domain,
		watchers: watches,
		call: peerCaller.call,
		alive: links.alive,
		seeds: () => live.seeds.filter(seed => seed !== settings.peers),
		now: elapsed,
		random,
		partitionedAfterMs: watchMs + watchSilenceMs,
		isWatching,
		weightsKind: kinds.weights,
	});
	const ownLease = createLeaseStore(store, kinds.leases, 'rollout');
	const rollout = createRolloutTask({
		self: name,
		lease: createRolloutLease({
			self: name, run: randomUUID(), others, leaseMs: settings.bounds.leaseMs, now: elapsed,
			store: createRelayedLeaseStore({
				direct: ownLease, call: peerCaller.call, alive: links.alive, random,
			}),
		}),
		engineClient: control,
		registry: book,
		desiredWeights: stored.weights,
		now: elapsed,
	});

	const free = createFreeStaleKvTask({
		control, stores: kept.stores, isPoller: kept.isPoller, desiredWeightsHistory: stored.desiredWeightsHistory, weightsKind: kinds.weights, listHosts: links.refreshAndList, now: elapsed,
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
		place: createRequestPlacer({
			domain, registry: book, serviceOf: stored.findService, latencyModelOf: paceOf, findNewerWeights: stored.findNewerWeights, versionMs: () => live.bounds.versionMs, now, elapsed, random,
			others: () => ({count: links.alive().length, reportAgeMs: links.reportAgeMs()}),
			planKvReuse: createKvReusePlanner({
				book, kept, findNewerWeights: stored.findNewerWeights, weightsConfirmedAt: sync.weightsConfirmedAt, now: elapsed,
			}),
		}),
		paceOf,
		urgentObjectiveOf: stored.findUrgentObjectiveMs,
		encode: adapter.encodeRequest,
		onEnd({route}, result, tookMs) {
			metrics.requestsTotal.inc({kind: route.kind, result});
			metrics.requestSeconds.observe({kind: route.kind}, tookMs / msPerS);
		},
	});

	const peerServer = await createPeerServer(settings.peers, undefined, {
		'gateway.state': async ({revisions}) => ({states: sync.answer(revisions)}),
		'gateway.lease': async ({write}) => ({object: (write ? await ownLease.write(write.value, write.revision) : await ownLease.read()) ?? null}),
		'gateway.kept': async ({store: asked, known}) => kept.listEvents(asked, known),
	}, () => false);
	await links.start();
	const callers = await createGatewayCallerServer({
		address: settings.callers,
		state: stored.state,
		decode: adapter.decodeRequest,
		createRequestIdHeaders: adapter.createRequestIdHeaders,
		forward,
		now,
		onRefusal(refusal) {
			metrics.refusalsTotal.inc({kind: refusal.kind});
		},
	});
	const isReady = (): boolean => !isDraining && stored.state() !== undefined && book.listAll().length > 0;
	const readiness = await createStatusServer(settings.readiness, [
		{path: adapter.readinessPath, answer: () => ({status: isReady() ? 200 : 503, text: ''})},
	]);
	const {host} = parseAddress(settings.callers);
	const metricsPort = await createStatusServer(`${host}:${settings.metricsPort}`, [{
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
			callers.closeIdleConnections();
			await Promise.race([callers.waitUntilIdle(), sleep(limitMs - (now() - leavingAt))]);
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
