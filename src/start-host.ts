import {createCallerServer} from './callers/create-caller-server.js';
import {createAtMostOnceRunner} from './callers/create-at-most-once-runner.js';
import {createCompletionHandler} from './callers/create-completion-handler.js';
import {createCompletionRunner} from './callers/create-completion-runner.js';
import {createPieceImporter} from './callers/create-piece-importer.js';
import {createCompletionPlanner} from './callers/create-completion-planner.js';
import {createPlainHandler} from './callers/create-plain-handler.js';
import {createRetryingRunner} from './callers/create-retrying-runner.js';
import {createLedgerTask} from './commitments/create-ledger-task.js';
import {createPieceIndexTask} from './context/create-piece-index-task.js';
import {createOffloadTask} from './context/create-offload-task.js';
import {createRetryBudget} from './decide/retries/create-retry-budget.js';
import {createLinkEstimator} from './decide/routing/create-link-estimator.js';
import {createEngineWaitEstimator} from './decide/routing/create-engine-wait-estimator.js';
import {type Member} from './decide/membership/member.js';
import {createSlotRequesterTask} from './grants/create-slot-requester-task.js';
import {createEngineOwnerTask} from './grants/create-engine-owner-task.js';
import {type EngineStatus} from './grants/engine-status.js';
import {readEngineStatus} from './grants/read-engine-status.js';
import {type Host} from './host.js';
import {createMembershipTask} from './membership/create-membership-task.js';
import {isMarkedLeaving} from './membership/is-marked-leaving.js';
import {createOwnerResolver} from './membership/create-owner-resolver.js';
import {createDecisionLog} from './observe/create-decision-log.js';
import {createHostCallerLimits} from './callers/create-host-caller-limits.js';
import {createMetrics} from './observe/create-metrics.js';
import {createTraceRecorder} from './observe/create-trace-recorder.js';
import {type Decision} from './observe/decision.js';
import {log} from './observe/log.js';
import {createOperatorServer} from './operators/create-operator-server.js';
import {createDomainControllerTask} from './orders/create-domain-controller-task.js';
import {createPeerClient} from './peers/create-peer-client.js';
import {createPeerServer} from './peers/create-peer-server.js';
import {type PeerHandlers} from './peers/peer-handlers.js';
import {createPoisonRequestTask} from './poison/create-poison-request-task.js';
import {createHttpPlatform} from './platform/create-http-platform.js';
import {withPartitionFault} from './platform/with-partition-fault.js';
import {createConfigTask} from './publishing/create-config-task.js';
import {type HostSettings} from './settings/host-settings.js';
import {readTlsCredentials} from './settings/read-tls-credentials.js';
import {type CacheStoreSettings} from './settings/cache-store-settings.js';
import {type UpstreamSettings} from './settings/upstream-settings.js';
import {createHttpEngine} from './upstreams/create-http-engine.js';
import {createHttpCacheStore} from './upstreams/create-http-cache-store.js';
import {createClocks} from './util/create-clocks.js';
import {memoize} from './util/memoize.js';
import {finishWork} from './util/finish-work.js';
import {once} from './util/once.js';
import {sleep} from './util/sleep.js';

const slotRequestFanout = 2;
const explainTimeoutMs = 800;
const flushTimeoutMs = 10_000;
const msPerHour = 3_600_000;
const minResponseRetentionHours = 72;

/** Options of `startHost` beyond the settings. */
type StartOptions = {
	/** Whether the operators' address accepts fault injection. */
	readonly allowFaults?: boolean;
	/** Returns numbers from 0 to below 1. */
	readonly random?: () => number;
};

/** Creates and connects the components of one host, starts its servers and returns the running host. */
export async function startHost(settings: HostSettings, {allowFaults = false, random = Math.random}: StartOptions = {}): Promise<Host> {
	const {name, domain, region} = settings;
	const faults = {cutPeers: [] as readonly string[] | 'all', cutPlatform: false, sendPauseMs: 0};
	const metrics = createMetrics();
	const decisions = createDecisionLog(name);
	const credentials = readTlsCredentials(settings.tls);

	const platform = withPartitionFault(createHttpPlatform(settings.platform, kind => {
		metrics.platformCalls.inc({kind});
	}), () => faults.cutPlatform);
	const peerClient = createPeerClient(
		credentials,
		address => faults.cutPeers === 'all' || faults.cutPeers.includes(address),
		(method, bytes) => {
			metrics.peerCalls.inc({method});
			metrics.peerBytes.inc({method}, bytes);
		},
	);
	const {call} = peerClient;

	const engineAt = memoize((url: string) => createHttpEngine(url));
	const storeAt = memoize((url: string) => createHttpCacheStore(url));
	/** Returns the same estimator for every call with the same store name and rate. */
	const linkEstimatorOf = memoize((_name: string, bytesPerS: number) => createLinkEstimator(bytesPerS));
	/** Returns the estimator of the link to a cache store. */
	const linkOf = (store: CacheStoreSettings) => linkEstimatorOf(store.name, store.linkBytesPerS);
	const getRetryBudget = memoize((_service: string, share: number) => createRetryBudget(share));

	const self: Member = {
		name, domain, region, peers: settings.peers, operators: settings.operators, incarnation: Date.now(), state: 'alive',
	};
	const membership = createMembershipTask({
		self, call, platform, seeds: settings.seeds, random,
		revision: () => config.current()?.revision ?? 0,
		onRevision(address) {
			void config.pull(address);
		},
	});
	const owners = createOwnerResolver(membership);
	const config = createConfigTask({
		platform, call, address: settings.peers,
		isWatcher: () => owners.inDomain(domain, 'config')?.name === name,
		peerAddresses: () => owners.liveHosts().filter(member => member.domain === domain && member.name !== name).map(member => member.peers),
	});
	const snapshot = () => config.current();
	const services = () => snapshot()?.services ?? [];
	const responseRetentionMs = () => Math.max(
		minResponseRetentionHours,
		...services().map(service => service.kind === 'plain' ? service.answerHours : 0),
	) * msPerHour;

	const ledger = createLedgerTask({
		self: name, platform, owners, call, responseRetentionMs,
	});
	const stores = () => services().flatMap(service => service.kind === 'model' ? service.stores : []);
	const pieceIndex = createPieceIndexTask({
		self: name, owners, call, stores, storeAt, random,
	});
	const offload = createOffloadTask({
		context: pieceIndex, storeAt, linkOf,
		onBytes(service, bytes) {
			metrics.linkBytes.inc({service, direction: 'out'}, bytes);
		},
	});
	const engineOwner = createEngineOwnerTask({
		self: name, domain, owners, membership, snapshot, engineAt, random,
	});
	const waits = createEngineWaitEstimator();
	const slotRequester = createSlotRequesterTask({
		self: name, owners, call, localOwner: engineOwner, engineAt, waits, fanout: slotRequestFanout,
	});
	const poison = createPoisonRequestTask(name, membership, owners, call);
	const domainController = createDomainControllerTask({
		self: name, domain, platform, owners, membership, snapshot, engineAt, clocks: createClocks(),
	});

	const statusOf = (upstream: UpstreamSettings): EngineStatus | undefined => {
		const status = readEngineStatus(membership.gossip, upstream.domain, upstream.name);
		return status && isMarkedLeaving(membership.gossip, upstream.name) ? {...status, leaving: true} : status;
	};

	/** Returns those of a plain service's upstreams that accept new work: first those of this host's domain, then the others, each group in random order. */
	const listUsable = (upstreams: readonly UpstreamSettings[]): readonly UpstreamSettings[] => upstreams
		.filter(upstream => !upstream.leaving && !isMarkedLeaving(membership.gossip, upstream.name))
		.map(upstream => ({upstream, rank: (upstream.domain === domain ? 0 : 1) + random()}))
		.toSorted((a, b) => a.rank - b.rank)
		.map(entry => entry.upstream);

	const traceRecorder = settings.trace === undefined
		? undefined
		: createTraceRecorder(settings.trace, region, snapshot, () => owners.liveHosts().length);
	const runCompletion = createCompletionRunner({
		plan: createCompletionPlanner({
			domain, context: pieceIndex, statusOf, linkOf, waits, random,
		}),
		importPieces: createPieceImporter(pieceIndex, linkOf, metrics),
		slotRequester, poison, engineAt, getRetryBudget, decisions, metrics,
		publishPieces(request, upstream, {pieces, pieceRecords, labels}) {
			const {service, workspace} = request;
			const wholePieces = pieces.filter(piece => piece.isWhole);
			traceRecorder?.record({
				service: service.service,
				workspace: workspace.name,
				context: labels[0]!,
				pieces: wholePieces.length,
				tailTokens: pieces.at(-1)!.isWhole ? 0 : pieces.at(-1)!.tokens,
				outputTokens: request.maxTokens,
			});
			const store = service.stores.find(candidate => candidate.domain === upstream.domain) ?? service.stores[0];
			pieceIndex.add(pieces.map((piece, depth) => ({
				service: service.service, label: labels[depth]!, key: piece.key, workspace: workspace.name, tokens: piece.tokens, depth, engine: upstream.name,
			})));
			for (const [depth, piece] of pieces.entries()) {
				if (store && piece.isWhole && !pieceRecords[depth]?.stored) {
					offload.offer({
						service: service.service, workspace: workspace.name, label: labels[depth]!, piece, depth,
						bytes: service.pieceBytes, uses: 1 + (pieceRecords[depth]?.uses ?? 0), engine: engineAt(upstream.url), engineName: upstream.name, store,
					});
				}
			}
		},
	});
	const runRetrying = createRetryingRunner({
		listUsable, getRetryBudget, decisions, random,
	});
	const runAtMostOnce = createAtMostOnceRunner({
		holder: () => `${name}/${membership.self().incarnation}`,
		isHolderUp(holder) {
			const [holderName, incarnation] = holder.split('/');
			const member = membership.members().find(candidate => candidate.name === holderName);
			return member !== undefined && String(member.incarnation) === incarnation && member.state !== 'dead' && member.state !== 'left';
		},
		ledger, listUsable, decisions,
		beforeSend: async () => sleep(faults.sendPauseMs),
	});

	membership.onChange(() => {
		engineOwner.reconcile();
		slotRequester.onOwnersChange();
		pieceIndex.onOwnersChange();
	});
	membership.onEntries(section => {
		if (section === 'marks') {
			engineOwner.reconcile();
		}
	});
	membership.onLongPause(() => {
		engineOwner.reset();
	});
	config.onChange(() => {
		engineOwner.reconcile();
	});

	/** Collects the decisions on a request from all hosts, sorted by time. */
	const explain = async (requestId: string): Promise<readonly Decision[]> => {
		const others = membership.members().filter(member => member.name !== name && member.state !== 'dead' && member.state !== 'left');
		const results = await Promise.allSettled(others.map(async member => call(member.peers, 'explain', {requestId}, {timeoutMs: explainTimeoutMs})));
		const peerDecisions = results.flatMap(result => result.status === 'fulfilled' ? result.value.decisions : []);
		return [...decisions.listByRequest(requestId), ...peerDecisions].toSorted((a, b) => a.at - b.at);
	};

	// Only gateways handle the `gateway.*` methods.
	const handlers: Omit<PeerHandlers, Extract<keyof PeerHandlers, `gateway.${string}`>> = {
		...membership.handlers,
		...config.handlers,
		...engineOwner.handlers,
		...pieceIndex.handlers,
		...ledger.handlers,
		...poison.handlers,
		explain: async ({requestId}) => ({decisions: decisions.listByRequest(requestId)}),
	};
	const callerLimits = createHostCallerLimits(metrics);
	const peers = await createPeerServer(settings.peers, credentials, handlers, () => faults.cutPeers === 'all', {load: callerLimits.load, maxConnections: callerLimits.connections.peers});
	const callers = await createCallerServer({
		settings, snapshot, decisions, metrics, load: callerLimits.load,
		handleCompletion: createCompletionHandler(runCompletion),
		handlePlain: createPlainHandler(runRetrying, runAtMostOnce),
	});
	let isLeaving = false;

	const stop = async (): Promise<void> => {
		await Promise.all([callers.stop(), membership.stop(), config.stop(), engineOwner.stop(), slotRequester.stop(), pieceIndex.stop(), domainController.stop()]);
		await Promise.all([operators.stop(), peers.stop()]);
		await peerClient.stop();
		callerLimits.stop();
	};

	const drain = once(async () => {
		isLeaving = true;
		log.info({host: name, underWay: callers.underWay()}, 'leaving');
		membership.leave();
		callers.drain();
		await sleep(settings.drainMs);
		await finishWork({
			underWay: callers.underWay, hasUnstored: ledger.hasUnstored, store: ledger.flush, maxStoreMs: flushTimeoutMs,
			endsAt: Number.POSITIVE_INFINITY, now: () => performance.now(),
		});
		log.info({host: name}, 'left');
		await stop();
	});

	const operators = await createOperatorServer(settings.operators, {
		isReady: () => !isLeaving && snapshot() !== undefined,
		metrics: async () => metrics.registry.metrics(),
		status: () => ({
			host: name,
			domain,
			region,
			state: membership.self().state,
			revision: snapshot()?.revision ?? 0,
			members: membership.members().map(({name: member, domain: memberDomain, state, incarnation}) => ({
				name: member, domain: memberDomain, state, incarnation,
			})),
			engines: engineOwner.states(),
			underWay: callers.underWay(),
			holdsLease: domainController.isLeaseHolder(),
		}),
		explain,
		mark(upstream, leaving) {
			void membership.put('marks', upstream, {leaving});
			const target = services().flatMap(service => service.upstreams).find(candidate => candidate.name === upstream);
			const owner = target && owners.inDomain(target.domain, upstream);
			if (owner && owner.name !== name) {
				const entry = membership.gossip.get('marks', upstream)!;
				call(owner.peers, 'gossip.sync', {sections: {marks: [entry]}, want: []}).catch(() => undefined);
			}
		},
		drain() {
			void drain();
		},
		setFaults(changed) {
			Object.assign(faults, changed);
		},
	}, allowFaults);

	log.info({
		host: name, domain, callers: callers.port, peers: peers.port, operators: operators.port,
	}, 'host started');
	return {
		name,
		ports: {callers: callers.port, peers: peers.port, operators: operators.port},
		drain,
		stop,
		reloadTlsCredentials() {
			const reloaded = readTlsCredentials(settings.tls);
			if (reloaded) {
				peers.setTlsCredentials(reloaded);
				peerClient.setTlsCredentials(reloaded);
			}
		},
	};
}
