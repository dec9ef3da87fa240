import {getFetchTimeoutMs} from '../decide/context/get-fetch-timeout-ms.js';
import {shouldOffload} from '../decide/context/should-offload.js';
import {createEngineQueue} from '../decide/grants/create-engine-queue.js';
import {type SlotRequest} from '../decide/grants/slot-request.js';
import {type EngineQueue} from '../decide/grants/engine-queue.js';
import {type GrantAction} from '../decide/grants/grant-action.js';
import {createLinkEstimator} from '../decide/routing/create-link-estimator.js';
import {createEngineWaitEstimator} from '../decide/routing/create-engine-wait-estimator.js';
import {type EngineView} from '../decide/routing/engine-view.js';
import {type LinkEstimator} from '../decide/routing/link-estimator.js';
import {rankEngines} from '../decide/routing/rank-engines.js';
import {type RoutingInput} from '../decide/routing/routing-input.js';
import {type RoutingPlan} from '../decide/routing/routing-plan.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type EngineWaitEstimator} from '../decide/routing/engine-wait-estimator.js';
import {createSeededRandom} from '../util/create-seeded-random.js';
import {createVirtualClock} from './create-virtual-clock.js';
import {createEngineModel} from './create-engine-model.js';
import {createLinkModel} from './create-link-model.js';
import {createStoreModel} from './create-store-model.js';
import {createRunStats} from './create-run-stats.js';
import {type Deployment} from './deployment.js';
import {type Policy} from './policy.js';
import {type RunResult} from './run-result.js';
import {type TraceEvent} from './trace-event.js';
import {type TraceRequest} from './trace-request.js';

const tickMs = 100;
const maxPendingWrites = 2000;
const writeTimeoutMs = 60_000;

type DeployedService = Deployment['services'][number];

/** Simulated engine with the slot queue of its owner. */
type ModelledEngine = {
	readonly name: string;
	readonly engine: ReturnType<typeof createEngineModel>;
	readonly queue: EngineQueue;
};

/** Simulated service with its engines, KV store and store link. */
type ModelledService = {
	readonly settings: DeployedService;
	readonly engines: readonly ModelledEngine[];
	readonly store: ReturnType<typeof createStoreModel>;
	readonly link: ReturnType<typeof createLinkModel>;
	version: string;
	/** Pieces to be written to the KV store, oldest first. */
	readonly pendingWrites: Array<{readonly request: TraceRequest; readonly target: ModelledEngine; readonly key: string; readonly depth: number; readonly expiresAt: number}>;
	isWriting: boolean;
};

/** Simulated host that receives requests, with its estimates of engine waits and store links. */
type ModelledHost = {
	readonly name: string;
	readonly waitEstimator: EngineWaitEstimator;
	readonly linkEstimators: ReadonlyMap<string, LinkEstimator>;
};

/** State of a request from its arrival until it is served or refused. */
type Job = {
	readonly request: TraceRequest;
	readonly service: ModelledService;
	readonly host: ModelledHost;
	readonly keys: readonly string[];
	readonly promptTokens: number;
	/** Routing plans of the available engines, best first. */
	routes: readonly RoutingPlan[];
	/** Engines by id of the slot requests that are neither granted nor refused yet. */
	readonly pendingSlotRequests: Map<string, ModelledEngine>;
	/** Index in `routes` of the first engine that was not tried yet. */
	nextRoute: number;
	/** Whether the current attempt has a slot. */
	isGranted: boolean;
	hasFirstToken: boolean;
};

/** Replays a trace under one policy in virtual time, with the decision modules that `serve` uses. */
export function runPolicy(events: readonly TraceEvent[], policy: Policy, seed: number): RunResult {
	const [deployment, ...rest] = events as readonly [Deployment, ...TraceEvent[]];
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const durationMs = Math.max(1, ...rest.slice(-1).map(event => event.kind === 'deployment' ? 0 : event.at));
	const stats = createRunStats(deployment, durationMs);
	/** Requests by id of their slot requests. */
	const jobs = new Map<string, Job>();
	/** Time of the latest tick that was scheduled, by engine. */
	const scheduledTicks = new Map<string, number>();
	let nextSlotRequestId = 0;

	const services = new Map(deployment.services.map((settings): readonly [string, ModelledService] => [settings.name, {
		settings,
		engines: Array.from({length: settings.engines}, (_, index) => ({
			name: `${settings.name}-${index}`,
			engine: createEngineModel(clock, settings),
			queue: createEngineQueue({
				slots: settings.slots, prefillTokensPerS: settings.prefillTokensPerS, queueLimit: settings.queueLimit, openAt: 0, random,
			}),
		})),
		store: createStoreModel(clock, settings, random),
		link: createLinkModel(clock, settings.linkBytesPerS),
		version: 'v1',
		pendingWrites: [],
		isWriting: false,
	}]));
	const hosts = Array.from({length: deployment.hosts}, (_, index): ModelledHost => ({
		name: `host-${index}`,
		waitEstimator: createEngineWaitEstimator(),
		linkEstimators: new Map(deployment.services.map(settings => [settings.name, createLinkEstimator(settings.linkBytesPerS)])),
	}));

	const toEngineView = (job: Job, {name, engine}: ModelledEngine): EngineView => ({
		name,
		domain: '',
		cachedPieces: engine.cache.countCachedPrefix(job.keys),
		waitMs: job.host.waitEstimator.estimateWaitMs(name, clock.now()),
		prefillTokensPerS: job.service.settings.prefillTokensPerS,
		networkLatencyMs: 2 * deployment.delayMs,
	});

	const toRoutingInput = (job: Job): RoutingInput => {
		const {settings, store} = job.service;
		const stored = job.keys.map((key): StoredPiece | undefined => store.pieceIndex.lookup(key, clock.now())?.stored);
		const pieceTokens = [...job.keys.map(() => settings.pieceTokens), job.request.tailTokens];
		const storedWithTail = [...stored, undefined];
		const linkEstimator = job.host.linkEstimators.get(settings.name)!;
		// The extreme times of `always` and `never` make the plan fetch all stored pieces that follow the cached prefix, or none.
		const fetchMs = {scored: (_: string, bytes: number) => linkEstimator.estimateTransferMs(bytes, clock.now()), always: () => -1e9, never: () => Number.POSITIVE_INFINITY};
		return {
			pieceTokens, stored: policy.fetchMode === 'never' ? storedWithTail.map(() => undefined) : storedWithTail, cost: settings.cost, estimateFetchMs: fetchMs[policy.fetchMode],
		};
	};

	/** Ranks the available engines by the policy. Under every ranking, the routing score decides which pieces an engine fetches. */
	const rank = (job: Job): readonly RoutingPlan[] => {
		const availableEngines = job.service.engines.filter(({engine}) => engine.isUp());
		const routes = rankEngines(toRoutingInput(job), availableEngines.map(engine => toEngineView(job, engine)), random);
		const getReportedRequests = (route: RoutingPlan): number => availableEngines.find(({name}) => name === route.engine)!.engine.reportedRequests();
		const shuffled = routes.map(route => ({route, order: random()})).toSorted((a, b) => a.order - b.order).map(({route}) => route);
		switch (policy.ranking) {
			case 'score': {
				return routes;
			}

			case 'random': {
				return shuffled;
			}

			case 'least-reported': {
				return shuffled.toSorted((a, b) => getReportedRequests(a) - getReportedRequests(b));
			}

			case 'two-choices': {
				return [...shuffled.slice(0, 2).toSorted((a, b) => getReportedRequests(a) - getReportedRequests(b)), ...shuffled.slice(2)];
			}

			case 'prefix': {
				// A piece to fetch counts as one recomputed token, far less than the tokens of a piece, so in effect the number of pieces to
				// fetch only breaks ties.
				return shuffled.toSorted((a, b) => (a.recomputedTokens + a.fetchPieces.length) - (b.recomputedTokens + b.fetchPieces.length));
			}
		}
	};

	const refuse = (job: Job): void => {
		stats.refused(job.request);
	};

	/** Sends slot requests to the next engines in the ranking; refuses the request when none is left or its deadline has passed. */
	const requestNextSlots = (job: Job): void => {
		const routes = job.routes.slice(job.nextRoute, job.nextRoute + policy.fanout);
		job.nextRoute += policy.fanout;
		const leftMs = job.request.at + job.service.settings.deadlineMs - clock.now();
		if (routes.length === 0 || leftMs <= 0) {
			refuse(job);
			return;
		}

		for (const route of routes) {
			const target = job.service.engines.find(({name}) => name === route.engine)!;
			const id = String(nextSlotRequestId++);
			job.pendingSlotRequests.set(id, target);
			jobs.set(id, job);
			const slotRequest: SlotRequest = {
				id, engine: target.name, host: job.host.name, leftMs, prefillTokens: route.recomputedTokens, keys: [], alone: false, resumed: job.hasFirstToken,
				service: job.service.settings.name, serviceWeight: 1,
				workspace: policy.usesFairQueueing ? job.request.workspace : 'all',
				workspaceWeight: policy.usesFairQueueing ? job.service.settings.workspaces.find(({name}) => name === job.request.workspace)!.weight : 1,
				cost: route.recomputedTokens + job.request.outputTokens,
			};
			clock.at(clock.now() + deployment.delayMs, () => {
				applyGrantActions(target, target.queue.ask(slotRequest, clock.now()));
			});
		}
	};

	const withdrawOthers = (job: Job, grantedId: string): void => {
		for (const [id, target] of job.pendingSlotRequests) {
			if (id !== grantedId) {
				clock.at(clock.now() + deployment.delayMs, () => {
					applyGrantActions(target, target.queue.withdraw(id, clock.now()));
				});
			}
		}

		job.pendingSlotRequests.clear();
	};

	/**
	Writes the pending pieces to the KV store one at a time, while the link has little backlog. Drops pieces that time out, that the
	engine no longer caches, or that the store has no space for.
	*/
	const writeNextPiece = (service: ModelledService): void => {
		const {settings, store: storeModel, link, pendingWrites} = service;
		const next = pendingWrites.at(0);
		if (!next || service.isWriting) {
			return;
		}

		const uses = storeModel.pieceIndex.lookup(next.key, clock.now())?.uses ?? 1;
		service.isWriting = true;
		const scheduleNextWrite = (at: number): void => {
			clock.at(at, () => {
				service.isWriting = false;
				writeNextPiece(service);
			});
		};

		if (!shouldOffload(uses, link.backlogMs()) && clock.now() < next.expiresAt) {
			scheduleNextWrite(clock.now() + link.backlogMs());
			return;
		}

		pendingWrites.shift();
		if (clock.now() >= next.expiresAt || !next.target.engine.cache.has(next.key) || !storeModel.reserve(settings.pieceTokens, next.depth)) {
			scheduleNextWrite(clock.now());
			return;
		}

		const {request, key, depth} = next;
		const arrivesAt = link.send(settings.pieceBytes, 1);
		stats.stored(request, settings.pieceBytes);
		clock.at(arrivesAt, () => {
			const stored = {
				key, store: 'store', block: 0, generation: 0, checksum: '', bytes: settings.pieceBytes,
			};
			storeModel.pieceIndex.add({
				service: settings.name, label: key, key, workspace: request.workspace, tokens: settings.pieceTokens, depth, stored,
			}, clock.now());
		});
		scheduleNextWrite(arrivesAt);
	};

	/** Adds the pieces of a served prompt to the index and queues a write of those that are not stored yet. */
	const recordServedPieces = ({request, service, keys}: Job, target: ModelledEngine): void => {
		const {settings, store: storeModel, pendingWrites} = service;
		for (const [depth, key] of keys.entries()) {
			const indexed = storeModel.pieceIndex.lookup(key, clock.now());
			storeModel.pieceIndex.add({
				service: settings.name, label: key, key, workspace: request.workspace, tokens: settings.pieceTokens, depth, engine: target.name,
			}, clock.now());
			if (!indexed?.stored && pendingWrites.length < maxPendingWrites) {
				pendingWrites.push({
					request, target, key, depth, expiresAt: clock.now() + writeTimeoutMs,
				});
			}
		}

		writeNextPiece(service);
	};

	const runOnEngine = (job: Job, target: ModelledEngine, id: string): void => {
		const {settings} = job.service;
		const releaseSlot = (tokens: number): void => {
			clock.at(clock.now() + deployment.delayMs, () => {
				applyGrantActions(target, target.queue.release(id, tokens, clock.now()));
			});
		};

		target.engine.run({
			keys: job.keys,
			pieceTokens: settings.pieceTokens,
			tailTokens: job.request.tailTokens,
			outputTokens: job.request.outputTokens,
			onFirstToken(recomputedTokens) {
				if (!job.hasFirstToken) {
					stats.firstTokenSent(job.request, clock.now() - job.request.at, recomputedTokens, job.promptTokens);
				}

				job.hasFirstToken = true;
			},
			onEnd() {
				releaseSlot(job.request.outputTokens);
				recordServedPieces(job, target);
			},
			onAborted() {
				releaseSlot(0);
				startJob(job);
			},
		});
	};

	/** Fetches the planned pieces one at a time, as a host does, then runs the request; a fetch that times out ends the fetching. */
	const fetchAndRun = (job: Job, target: ModelledEngine, id: string): void => {
		const {settings, link, store: storeModel} = job.service;
		const cached = target.engine.cache.countCachedPrefix(job.keys);
		const route = job.routes.find(({engine}) => engine === target.name)!;
		const pieces = route.fetchPieces.filter(piece => job.keys.indexOf(piece.key) >= cached);
		const linkEstimator = job.host.linkEstimators.get(settings.name)!;
		const bytes = settings.pieceBytes;

		const fetchNext = (index: number): void => {
			const piece = pieces[index];
			if (!piece) {
				runOnEngine(job, target, id);
				return;
			}

			const startedAt = clock.now();
			const timeoutMs = policy.fetchMode === 'always' ? Number.POSITIVE_INFINITY : getFetchTimeoutMs(linkEstimator.estimateTransferMs(bytes, startedAt));
			const arrivesAt = link.send(bytes, storeModel.readSlowdown());
			linkEstimator.begin(bytes);
			stats.fetched(job.request, bytes);
			if (arrivesAt - startedAt > timeoutMs) {
				clock.at(startedAt + timeoutMs, () => {
					linkEstimator.fail(bytes, clock.now());
					runOnEngine(job, target, id);
				});
				return;
			}

			clock.at(arrivesAt, () => {
				linkEstimator.end(bytes, clock.now() - startedAt, clock.now());
				target.engine.cache.touch(piece.key);
				fetchNext(index + 1);
			});
		};

		fetchNext(0);
	};

	const onGrant = (job: Job, target: ModelledEngine, id: string): void => {
		job.host.waitEstimator.record(target.name, target.queue.waitMs(clock.now()), clock.now());
		if (job.isGranted || !job.pendingSlotRequests.has(id)) {
			applyGrantActions(target, target.queue.release(id, 0, clock.now()));
			return;
		}

		job.isGranted = true;
		withdrawOthers(job, id);
		fetchAndRun(job, target, id);
	};

	const onRefusal = (job: Job, id: string, retryAfterMs: number): void => {
		const target = job.pendingSlotRequests.get(id);
		if (!target) {
			return;
		}

		job.pendingSlotRequests.delete(id);
		job.host.waitEstimator.record(target.name, retryAfterMs, clock.now());
		if (job.pendingSlotRequests.size === 0 && !job.isGranted) {
			requestNextSlots(job);
		}
	};

	/** Schedules a tick of an engine's queue for the time when it can grant without another event. */
	const scheduleTick = (target: ModelledEngine): void => {
		const nextAt = target.queue.nextGrantAt(clock.now());
		if (nextAt !== undefined && nextAt > clock.now() && (scheduledTicks.get(target.name) ?? 0) < nextAt) {
			scheduledTicks.set(target.name, nextAt);
			clock.at(nextAt, () => {
				applyGrantActions(target, target.queue.tick(clock.now()));
			});
		}
	};

	/** Delivers the decisions of an engine's queue to the hosts after the message latency. */
	const applyGrantActions = (target: ModelledEngine, actions: readonly GrantAction[]): void => {
		for (const action of actions) {
			const job = jobs.get(action.ask.id);
			jobs.delete(action.ask.id);
			if (!job) {
				continue;
			}

			clock.at(clock.now() + deployment.delayMs, () => {
				if (action.kind === 'grant') {
					onGrant(job, target, action.ask.id);
				} else {
					onRefusal(job, action.ask.id, action.retryAfterMs);
				}
			});
		}

		scheduleTick(target);
	};

	/** Ranks the engines and sends the first slot requests; also restarts a request that its engine aborted. */
	const startJob = (job: Job): void => {
		job.isGranted = false;
		job.nextRoute = 0;
		job.routes = rank(job);
		requestNextSlots(job);
	};

	const receiveRequest = (request: TraceRequest): void => {
		const service = services.get(request.service)!;
		const keys = Array.from({length: request.pieces}, (_, index) => `${service.version}/${request.context}/${index}`);
		stats.received(request);
		startJob({
			request, service, keys, routes: [], pendingSlotRequests: new Map(), nextRoute: 0, isGranted: false, hasFirstToken: false,
			host: hosts[Math.floor(random() * hosts.length)]!,
			promptTokens: (request.pieces * service.settings.pieceTokens) + request.tailTokens,
		});
	};

	const applyEvent = (event: TraceEvent): void => {
		switch (event.kind) {
			case 'deployment': {
				break;
			}

			case 'request': {
				receiveRequest(event);
				break;
			}

			case 'engine': {
				services.get(event.service)!.engines[event.engine]!.engine.setAvailable(event.isUp);
				break;
			}

			case 'link': {
				services.get(event.service)!.link.setSpeedFactor(event.factor);
				break;
			}

			case 'store': {
				services.get(event.service)!.store.setCapacity(event.pieces);
				break;
			}

			case 'version': {
				services.get(event.service)!.version = event.version;
				break;
			}
		}
	};

	for (const event of rest) {
		const at = event.kind === 'deployment' ? 0 : event.at;
		clock.at(at, () => {
			applyEvent(event);
		});
	}

	for (let at = tickMs; at <= durationMs + tickMs; at += tickMs) {
		clock.at(at, () => {
			for (const service of services.values()) {
				for (const target of service.engines) {
					applyGrantActions(target, target.queue.tick(clock.now()));
				}
			}
		});
	}

	clock.run();
	const allServices = [...services.values()];
	const linkBusyMs = allServices.reduce((total, service) => total + service.link.busyMs(), 0);
	const engines = allServices.flatMap(service => service.engines);
	const engineBusyMs = engines.reduce((total, {engine}) => total + engine.busyMs(), 0);
	return stats.result(policy.name, linkBusyMs / allServices.length / durationMs, engineBusyMs / engines.length / durationMs);
}
