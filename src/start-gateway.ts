import {randomUUID} from 'node:crypto';
import {respectRest} from './announcements/respect-rest.js';
import {createColdPermitTask} from './announcements/create-cold-permit-task.js';
import {createPermitTask} from './announcements/create-permit-task.js';
import {createClaims} from './claims/create-claims.js';
import {createStatementLearner} from './announcements/create-statement-learner.js';
import {createRoomTask} from './announcements/create-room-task.js';
import {createGatewayPaces} from './pace/create-gateway-paces.js';
import {createCallerLimits} from './callers/create-caller-limits.js';
import {createServiceLatencyModel} from './decide/forwarding/create-service-latency-model.js';
import {createSlidingWindowRetryBudget} from './decide/retries/create-sliding-window-retry-budget.js';
import {listRecentWeightAges} from './decide/weights/list-recent-weight-ages.js';
import {estimateUsableForMs} from './decide/weights/estimate-usable-for-ms.js';
import {createWeightAges} from './decide/weights/create-weight-ages.js';
import {findOwner} from './decide/membership/find-owner.js';
import {openRequestServers} from './forwarding/open-request-servers.js';
import {parseAddress} from './http/parse-address.js';
import {createUpstreamChecks} from './poison/create-upstream-checks.js';
import {createKvReusePlanner} from './forwarding/create-kv-reuse-planner.js';
import {createPoisonRequestDetector} from './poison/create-poison-request-detector.js';
import {createCondemnedRequestList} from './poison/create-condemned-request-list.js';
import {createCrashChecker} from './poison/create-crash-checker.js';
import {createForwarder} from './forwarding/create-forwarder.js';
import {wireEvacuations} from './evacuations/wire-evacuations.js';
import {createFreeStaleKvTask} from './forwarding/create-free-stale-kv-task.js';
import {createGatewayMetrics} from './forwarding/create-gateway-metrics.js';
import {createHostReportExchange} from './reports/create-host-report-exchange.js';
import {createKvStoreTracker} from './forwarding/create-kv-store-tracker.js';
import {createObjectWatcher} from './object-store/create-object-watcher.js';
import {createLeaseStore} from './object-store/create-lease-store.js';
import {responseLimits} from './forwarding/response-limits.js';
import {createRequestPlacer} from './forwarding/create-request-placer.js';
import {createRelayedLeaseStore} from './object-store/create-relayed-lease-store.js';
import {createRolloutLease} from './forwarding/create-rollout-lease.js';
import {createRolloutTask} from './forwarding/create-rollout-task.js';
import {createStateSync} from './object-store/create-state-sync.js';
import {recordWeightsMetrics} from './forwarding/record-weights-metrics.js';
import {openStatusServers} from './forwarding/open-status-servers.js';
import {createWatchPolicy} from './object-store/create-watch-policy.js';
import {drainGateway} from './forwarding/drain-gateway.js';
import {createStoredState} from './object-store/create-stored-state.js';
import {createWeightAgeTask} from './object-store/create-weight-age-task.js';
import {createWeightAgeRecord} from './object-store/create-weight-age-record.js';
import {createStartVerifier} from './registry/create-start-verifier.js';
import {createUpstreamRegistry} from './registry/create-upstream-registry.js';
import {markDomainCold} from './registry/mark-domain-cold.js';
import {type GatewayAdapter} from './forwarding/gateway-adapter.js';
import {type KnownHost} from './reports/known-host.js';
import {type LoadReport} from './reports/load-report.js';
import {type StoredObject} from './object-store/stored-object.js';
import {createCpuMeter} from './observe/create-cpu-meter.js';
import {readCpuUs} from './observe/read-cpu-us.js';
import {log} from './observe/log.js';
import {createUpstreamLinks} from './links/create-upstream-links.js';
import {createEpochCheckedStore} from './object-store/create-epoch-checked-store.js';
import {createEpochTracker} from './object-store/create-epoch-tracker.js';
import {createPeerClient} from './peers/create-peer-client.js';
import {createGatewayMethods} from './peers/create-gateway-methods.js';
import {createPeerServer} from './peers/create-peer-server.js';
import {compareGatewaySettings} from './settings/compare-gateway-settings.js';
import {type GatewaySettings} from './settings/gateway-settings.js';
import {createRelayClient} from './relay/create-relay-client.js';
import {createRelaySender} from './relay/create-relay-sender.js';
import {createStreamArchive} from './streams/create-stream-archive.js';
import {createStreamVersions} from './streams/create-stream-versions.js';
import {createVersionKnowledge} from './streams/create-version-knowledge.js';
import {createStandstillDetector} from './util/create-standstill-detector.js';
import {createClocks} from './util/create-clocks.js';
import {memoizeLast} from './util/memoize-last.js';
import {memoize} from './util/memoize.js';
import {once} from './util/once.js';
import {refreshEvery} from './util/refresh-every.js';

const msPerS = 1000;
/** Reports state anew this often which services this host can't reach. */
const lostServicesMs = 300;
/** An engine is ejected for this long after each report that it is loading weights. */
const loadingEjectMs = 400;
/**
For this long after its start, a host leaves the tasks that a few hosts perform for all to the others, since it may not have all
their reports.
*/
const settleMs = 1000;
/** What a process receives sooner after it stood still may have waited for it. */
const promptAfterMs = 1000;
/** Retry budgets and connections are divided among at least this many hosts, since the others are not known yet after a start. */
const minAssumedHosts = 3;
/** Least number of connections of one host to an upstream. */
const minConnections = 4;

/** Time for the host that saw the crash to list a condemned request before the others do; the random part is as long. */
const condemnedByOtherDelayMs = 1000;

/** A running gateway host. */
type Gateway = {
	/** Fails the readiness check, finishes the requests in flight and stops; each call resolves once that is done. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
	/** Applies changed settings while the host runs; logs those that need a restart. */
	readonly reload: (settings: GatewaySettings) => void;
};

/** Creates and connects the components of one gateway host and starts it. */
export async function startGateway(settings: GatewaySettings, adapter: GatewayAdapter): Promise<Gateway> {
	const {name, domain} = settings;
	let liveSettings = settings;
	const {kinds} = adapter;
	const clocks = createClocks();
	const {monotonic: now, suspendAware: suspendAwareNow} = clocks;
	const {random} = Math;
	const metrics = createGatewayMetrics();
	const meter = createCpuMeter({
		readCpuUs,
		add(job, seconds) {
			metrics.cpuSeconds.inc({job}, seconds);
		},
	});
	const standstill = createStandstillDetector(suspendAwareNow);
	const weightAges = createWeightAges(clocks);
	const startedAt = now();
	const hasSettled = (): boolean => now() - startedAt >= settleMs;
	let isDraining = false;

	const epochs = createEpochTracker(now);
	const store = createEpochCheckedStore(adapter.openStore(settings.objectStore, {
		onCall(call) {
			metrics.platformCallsTotal.inc(call);
		},
		recordEpoch: epochs.record,
	}), epochs);
	const engineClient = respectRest(adapter.openEngineClient((address, head, askedAt) => {
		registry.recordControlResponse(address, head, askedAt);
	}), address => registry.restsForMs(address));
	const peerClient = createPeerClient(undefined, () => false, () => undefined);

	const self = {
		host: name, domain, peers: settings.peers, reports: settings.reports, linkMbps: settings.linkMbps,
	};
	const reportExchange = createHostReportExchange({
		self,
		store,
		kind: kinds.hosts,
		getEpoch: epochs.current,
		onHeard() {
			registry.repeatStatements();
		},
		now,
		makeReport: meter('making reports', () => {
			const loading = rolloutTask.loading();
			ejectLoading(loading);
			return {
				loads: registry.loads(), loading, weights: rolloutTask.news(), limits: registry.takeDueLimits(now()), paces: paces.listReported(),
				versions: streams.reviewVersions(), ...stateSync.status(),
				weightsAgeMs: getAgeMs(stateSync.weightsConfirmedAt()), upstreamsAgeMs: getUpstreamsAgeMs(), ...crashes.news(),
				lostServices: listLostServices(),
				countsAttempts: true,
				sharesKvByGroup: true,
				claimsPlaces: claims.isOn,
				weightAges: listRecentWeightAges(weightAges.list()),
				isStoreLost: watchers.some(watch => watch.isStoreUnreachable()),
			};
		}),
		onLoads: meter('taking in loads', (source, report) => {
			registry.recordRemoteLoads(source, report.loads, now());
			registry.recordReportedLimits(source.host, report.limits ?? [], now());
			paces.recordReported(source.host, report.paces ?? []);
			streams.recordSeenVersions(report.versions ?? []);
			ejectLoading(report.loading);
			for (const [id, model, version] of report.weights) {
				registry.recordWeights(id, model, version);
			}

			crashes.addFindings(report);
		}),
		onStatus: meter('taking in statuses', status => {
			for (const age of status.weightAges ?? []) {
				weightAges.recordStated(age);
			}

			stateSync.compareStatus(status);
			freeStaleKvTask.recordStatus(status);
		}),
		onKvStoreUpdate: meter('taking in KV updates', update => {
			kvStoreTracker.applyUpdate(update);
		}),
		onStreams(groups) {
			streams.receive(groups);
		},
		onClaims: meter('taking in claims', message => {
			claims.receive(message);
		}),
	});
	const claims = createClaims({
		settings, reportExchange, now,
		onOutcome(outcome) {
			metrics.claimsTotal.inc({outcome});
		},
	});
	const toNames = memoizeLast((peers: readonly KnownHost[]) => peers.map(peer => peer.host));
	const listOtherNames = (): readonly string[] => toNames(reportExchange.alive());
	const countHosts = (): number => Math.max(minAssumedHosts, reportExchange.countHosts());

	const links = createUpstreamLinks({
		ping: async ({id, address, service}, timeoutMs) => await permits.acquireProbe(id)
			? engineClient.ping(address, storedState.findService(service)?.healthPath ?? '/', timeoutMs)
			: undefined,
		chargeProbe: ({id}) => permits.chargeProbe(id),
		now,
		random,
	});
	const listLostServices = refreshEvery(lostServicesMs, now, () => registry.listLostServices());
	const evacuations = wireEvacuations({
		kind: kinds.evacuations, evacuateMs: settings.bounds.evacuateMs, listReachable: reportExchange.listReachable,
		pull: async address => stateSync.pull(address), listUpstreams: () => registry.listAll(), metrics, now: suspendAwareNow, random,
		onReturned(domain) {
			markDomainCold(registry, domain, service => storedState.findService(service)?.coldStartMs, now());
		},
	});
	const others = () => ({count: reportExchange.alive().length, reportAgeMs: reportExchange.reportAgeMs()});
	const paces = createGatewayPaces({
		settings, metrics, others, runningForMs: standstill.runningForMs, now, random,
		isCold: id => (registry.coldGate(id)?.forMs(now()) ?? 0) > 0,
	});
	const registry = createUpstreamRegistry({
		now,
		links,
		findColdLimit: service => storedState.findService(service),
		isEvacuated: evacuations.isEvacuated,
		paces,
		maxConnectionsFor: service => Math.max(minConnections, Math.floor((storedState.findService(service)?.maxConnections ?? 0) / countHosts())),
		link: (upstream, {onOpen, onIdleEnd}) => adapter.openConnectionPool(upstream.address, () => {
			metrics.connections.inc({service: upstream.service});
			onOpen();
		}, onIdleEnd),
	});
	const statementLearner = createStatementLearner({
		listHosts: reportExchange.refreshAndList,
		call: peerClient.call,
		record(host, statements, cold) {
			registry.recordReportedLimits(host, statements, now());
			registry.recordReportedCold(cold, now());
		},
		onLearned() {
			weightAgeTask.start();
			evacuations.confirm();
		},
		random,
	});
	/** A host that has not read which weights are desired can't tell that an engine's are not stale. */
	const areWeightsListed = (): boolean => watchers.some(({kind, state}) => kind === kinds.weights && state() !== undefined);
	const weightAgeTask = createWeightAgeTask({
		weightAges,
		record: createWeightAgeRecord({
			store, kind: kinds.weightAges, getEpoch: epochs.current, listAges: weightAges.list,
		}),
		isRecorder: () => hasSettled() && findOwner([name, ...reportExchange.alive().filter(host => !host.isStoreLost).map(({host}) => host)], 'weight-ages') === name,
		areWeightsListed,
		maxUsefulMs: () => liveSettings.bounds.versionMs,
		listEngineWeights: () => registry.listAll().flatMap(({id, address, weights}) => [...weights].map(([model, version]) => ({
			id, address, model, version,
		}))),
		async readClock({id, address}) {
			permits.charge(id);
			const {clockMs, weights} = await engineClient.report(address);
			for (const [model, version] of weights) {
				registry.recordWeights(id, model, version);
			}

			return clockMs;
		},
		listHosts: reportExchange.listReachable,
		now,
		call: peerClient.call,
		random,
	});
	const permits = createColdPermitTask({
		self: name, upstreams: registry, listOthers: reportExchange.listOthers, alive: reportExchange.alive, call: peerClient.call, now, suspendAwareNow, random,
		permits: createPermitTask({
			self, upstreams: registry, listHeard: reportExchange.listHeard, alive: reportExchange.alive, hasSettled, call: peerClient.call, now, random,
		}),
		bounds: () => ({overshoot: liveSettings.bounds.coldOvershoot, slack: liveSettings.bounds.coldSlack}),
		onResult(result) {
			metrics.coldPermitsTotal.inc({result});
		},
	});
	const rooms = createRoomTask({
		self, upstreams: registry, listHeard: reportExchange.listHeard, alive: reportExchange.alive, call: peerClient.call, now, random,
	});
	const getUpstreamsAgeMs = (): number | undefined => getAgeMs(stateSync.upstreamsConfirmedAt());
	const knowledge = createVersionKnowledge({
		confirmedAgeMs: getUpstreamsAgeMs,
		refresh: async () => refreshKind(kinds.upstreams),
		listHeard: reportExchange.listHeard, getReach: reportExchange.getReach, now, standstill,
	});
	const streams = createStreamVersions({
		listUpstreams: registry.listAll, getReach: registry.getReach,
		listInReach: reportExchange.listInReach, listReachable: reportExchange.listReachable, alive: reportExchange.alive, call: peerClient.call, knowledge,
		openArchive: (retentionMs, onVersions) => createStreamArchive({
			host: name, store, kind: kinds.streams, epochs, retentionMs, countHosts, random, isInStep: knowledge.isInStep, onVersions,
		}),
		tell: reportExchange.tellStreams, now,
	});
	const ejectLoading = (loading: LoadReport['loading']): void => {
		for (const [id] of loading) {
			registry.ejectUntil(id, now() + loadingEjectMs);
		}
	};

	const upstreamChecks = createUpstreamChecks({
		engineClient, registry, links, alive: reportExchange.alive, listHeard: reportExchange.listHeard, call: peerClient.call, random,
	});
	const crashes = createPoisonRequestDetector({
		checkUpstream: createCrashChecker({
			engineClient, registry, askOthers: upstreamChecks.askOthers,
		}),
		now,
		hasTurn: turn => findOwner([name, ...listOtherNames()], turn) === name,
		onCondemn(digest, isOwn) {
			condemnedRequestList.add(digest, isOwn ? 0 : condemnedByOtherDelayMs * (1 + random()));
		},
		onCondemnParts(condemned) {
			condemnedRequestList.addParts(condemned, condemnedByOtherDelayMs * random());
		},
		onClearParts(parts, isOwn) {
			condemnedRequestList.clearParts(parts, isOwn ? 0 : condemnedByOtherDelayMs * (1 + random()));
		},
		isUnlisted: digest => condemnedRequestList.isUnlisted(digest),
		listUnlistedParts: () => condemnedRequestList.listUnlistedParts(),
	});
	const condemnedRequestList = createCondemnedRequestList({
		store, kind: kinds.condemnedRequests, random, onChange: crashes.addCondemned, onCleared: crashes.clearParts,
	});
	const kvStoreTracker = createKvStoreTracker({
		self, engineClient, call: peerClient.call, others: reportExchange.alive,
		publishUpdate: reportExchange.publishKvUpdate, hasSettled, clocks, random,
	});
	const storedState = createStoredState(adapter, {
		onServicesChange: kvStoreTracker.updateServices,
		onUpstreamsChange(upstreams) {
			registry.updateUpstreams(upstreams);
			streams.recordUpstreams(upstreams);
			if (upstreams.length > 0) {
				statementLearner.start();
			}
		},
	}, clocks, weightAges);
	const applyWeights = (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number, isPrompt: boolean): void => {
		const hasRun = standstill.runningForMs() > promptAfterMs;
		storedState.applyWeights(objects, Math.max(confirmedAt ?? Number.NEGATIVE_INFINITY, stateSync.weightsConfirmedByPeerAt()), epoch, isPrompt && hasRun);
	};

	const watchPolicy = createWatchPolicy({
		self, kinds, alive: reportExchange.alive, hasSettled,
	});
	const watched: ReadonlyArray<Pick<Parameters<typeof createObjectWatcher>[0], 'kind' | 'onChange' | 'getVersion' | 'removals'>> = [
		{kind: kinds.condemnedRequests, onChange: condemnedRequestList.applyObjects},
		{kind: kinds.configuration, onChange: storedState.applyConfiguration, getVersion: storedState.getConfigurationVersion},
		{kind: kinds.upstreams, onChange: storedState.applyUpstreams},
		{kind: kinds.weights, onChange: applyWeights, getVersion: storedState.getWeightsVersion},
		...evacuations.watched,
	];
	const watchers = watched.map(({kind, onChange, ...rest}) => createObjectWatcher({
		kind, store, now: suspendAwareNow, random, ...rest, onChange: meter('taking in stored objects', onChange),
		waitMs: () => watchPolicy.waitMs(kind),
		isWatching: () => watchPolicy.isWatching(kind),
	}));
	const refreshKind = async (kind: string): Promise<void> => watchers.find(watcher => watcher.kind === kind)!.refresh();
	const stateSync = createStateSync({
		domain,
		watchers,
		call: peerClient.call,
		alive: reportExchange.alive,
		seeds: () => liveSettings.seeds.filter(seed => seed !== settings.peers),
		now: suspendAwareNow,
		random,
		partitionedAfterMs: watchPolicy.partitionedAfterMs,
		isWatching: watchPolicy.isWatching,
		weightsKind: kinds.weights,
		upstreamsKind: kinds.upstreams,
	});
	const ownLease = createLeaseStore(store, epochs, kinds.leases, 'rollout');
	const rolloutTask = createRolloutTask({
		self: name,
		lease: createRolloutLease({
			self: name, run: randomUUID(), others: listOtherNames, leaseMs: settings.bounds.leaseMs, clocks,
			store: createRelayedLeaseStore({
				direct: ownLease, recordEpoch: epochs.record, call: peerClient.call, alive: reportExchange.alive, random,
			}),
		}),
		engineClient,
		registry,
		chargeCall: permits.charge,
		desiredWeights: storedState.weights,
		getUsableForMs: (model, version) => estimateUsableForMs(weightAges, {model, version, maxStaleMs: liveSettings.bounds.versionMs}),
		versionMs: () => liveSettings.bounds.versionMs,
		onPhase(phase, tookMs) {
			metrics.updatePhaseSeconds.observe({phase}, tookMs / msPerS);
		},
		now,
	});

	const freeStaleKvTask = createFreeStaleKvTask({
		engineClient, stores: kvStoreTracker.stores, isPoller: kvStoreTracker.isPoller, desiredWeightsHistory: storedState.desiredWeightsHistory,
		weightsKind: kinds.weights, kvSharing: storedState.kvSharing, configurationKind: kinds.configuration,
		confirmConfiguration: async () => refreshKind(kinds.configuration), listHosts: reportExchange.refreshAndList, now,
	});
	const getAgeMs = (at: number | undefined): number | undefined => at === undefined ? undefined : Math.max(0, Math.round(suspendAwareNow() - at));

	const getRetryBudget = memoize((_service: string) => createSlidingWindowRetryBudget({
		limits: () => ({ratio: liveSettings.bounds.retryRatio, slack: liveSettings.bounds.retrySlack}),
		windowMs: settings.bounds.retryWindowS * msPerS, hosts: countHosts,
	}));
	const getLatencyModel = memoize((_service: string) => createServiceLatencyModel());
	const relay = createRelayClient({
		domain, alive: reportExchange.alive, openPool: address => adapter.openConnectionPool(address, () => undefined), now, random,
	});
	const callerLimits = createCallerLimits({
		stated: settings.limits,
		freeResponseBytes: responseLimits.freeBytes,
		onLimit(reason) {
			metrics.callerLimitsTotal.inc({reason});
		},
		recordPeaks({heldBytes, descriptors}) {
			metrics.peakHeldBytes.set(heldBytes);
			metrics.peakDescriptors.set(descriptors);
		},
	});
	const {keptBytes} = callerLimits;
	const place = meter('placement', createRequestPlacer({
		domain, registry, serviceOf: storedState.findService, getLatencyModel,
		getStaleForMs: (model, version) => areWeightsListed() ? weightAges.getStaleForMs(model, version) : Number.POSITIVE_INFINITY,
		versionMs: () => liveSettings.bounds.versionMs, now, random,
		others,
		paces,
		planKvReuse: createKvReusePlanner({
			registry, isEvacuated: evacuations.isEvacuated, kept: kvStoreTracker, findNewerWeights: storedState.findNewerWeights,
			weightsConfirmedAt: stateSync.weightsConfirmedAt, kvSharing: storedState.kvSharing, clocks,
		}),
	}));
	const forward = createForwarder({
		registry,
		evacuations,
		crashes,
		getRetryBudget,
		now,
		random,
		place,
		claimPlace: claims.createClaimPlace(place),
		getLatencyModel,
		acquirePermit: permits.acquire,
		acquireRoom: rooms.acquire,
		verifyLink: links.verify,
		verifyStart: createStartVerifier({
			registry, now, isInStep: knowledge.isInStep, verifyLink: links.verify,
			confirmedAgeMs: getUpstreamsAgeMs,
			async readStart(id, address) {
				permits.charge(id);
				return engineClient.readStart(address);
			},
			confirmList: knowledge.confirm,
			onUnlisted() {
				streams.recordUpstreams(registry.listAll());
			},
		}),
		confirmCutOff: links.confirmCutOff,
		relay,
		sendRelayed: createRelaySender({
			relay, encodeRelayed: adapter.encodeRelayedRequest, keptBytes, now,
		}),
		streams,
		getUrgentObjectiveMs: storedState.findUrgentObjectiveMs,
		encode: adapter.encodeRequest,
		keptBytes,
		onEnd({route}, result, tookMs) {
			metrics.requestsTotal.inc({kind: route.kind, result});
			metrics.requestSeconds.observe({kind: route.kind}, tookMs / msPerS);
		},
	});

	const peerServer = await createPeerServer(settings.peers, undefined, createGatewayMethods({
		stateSync, ownLease, currentEpoch: epochs.current, listStatements: () => registry.listStatements(now()), listCold: () => registry.listCold(now()),
		listWeightAges: weightAges.list, rooms, permits, upstreamChecks, streams, kvStoreTracker,
	}), () => false, {load: callerLimits.load, maxConnections: callerLimits.connections.peers});
	await reportExchange.start();
	const {callers, relayed, requests} = await openRequestServers({
		settings,
		adapter,
		state: storedState.state,
		forward,
		isKnownHost: ip => reportExchange.listOthers().some(({peers}) => parseAddress(peers).host === ip),
		load: callerLimits.load,
		connections: callerLimits.connections,
		now,
		onRefusal(refusal) {
			metrics.refusalsTotal.inc({kind: refusal.kind});
		},
	});
	const isReady = (): boolean => !isDraining && storedState.state() !== undefined && registry.listAll().length > 0 && evacuations.isKnown()
		&& statementLearner.hasLearned() && weightAgeTask.hasLearned();
	const statusServers = await openStatusServers({
		readiness: settings.readiness, readinessPath: adapter.readinessPath, isReady,
		callers: settings.callers, metricsPort: settings.metricsPort, metrics, underWay: callers.underWay, maxConnections: callerLimits.connections.status,
		recordGauges() {
			metrics.coldUpstreams.set(registry.listCold(now()).length);
			metrics.evacuatedDomains.set(evacuations.count());
			paces.recordGauges();
			recordWeightsMetrics(metrics, {
				weights: storedState.weights(), upstreams: registry.listAll(), getAgeMs: ({model, version}) => weightAges.getStaleForMs(model, version - 1) ?? 0,
			});
		},
	});

	const stop = async (): Promise<void> => {
		for (const component of [
			...watchers,
			reportExchange,
			claims,
			stateSync,
			rolloutTask,
			weightAgeTask,
			freeStaleKvTask,
			kvStoreTracker,
			streams,
			condemnedRequestList,
			callers,
			relayed,
			relay,
			links,
			permits,
			statusServers,
			callerLimits,
		]) {
			component.stop();
		}

		await Promise.all([peerServer.stop(), peerClient.stop(), engineClient.stop(), store.stop()]);
	};

	log.info({
		host: name, domain, callers: settings.callers, store: settings.objectStore,
	}, 'host started');
	return {
		drain: once(async () => {
			isDraining = true;
			await drainGateway({
				host: name, servers: requests, streams, graceMs: liveSettings.bounds.graceS * msPerS, now,
			});
			await stop();
		}),
		stop,
		reload(changed) {
			const difference = compareGatewaySettings(liveSettings, changed);
			liveSettings = changed;
			log.info({host: name, changed: difference.live, atNextStart: difference.atStart}, 'settings changed');
		},
	};
}
