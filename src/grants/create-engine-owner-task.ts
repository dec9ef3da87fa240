import {createEngineQueue} from '../decide/grants/create-engine-queue.js';
import {type SlotResponse} from '../decide/grants/slot-response.js';
import {type EngineQueue} from '../decide/grants/engine-queue.js';
import {type GrantAction} from '../decide/grants/grant-action.js';
import {type GrantRefusalReason} from '../decide/grants/grant-refusal-reason.js';
import {createFlapDamper} from '../decide/upstreams/create-flap-damper.js';
import {type FlapDamper} from '../decide/upstreams/flap-damper.js';
import {type ErrorKind} from '../errors/error-kind.js';
import {Refusal} from '../errors/refusal.js';
import {isMarkedLeaving} from '../membership/is-marked-leaving.js';
import {type MembershipTask} from '../membership/membership-task.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {log} from '../observe/log.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type UpstreamSettings} from '../settings/upstream-settings.js';
import {type Engine} from '../upstreams/engine.js';
import {toDelayMs} from '../util/to-delay-ms.js';
import {type EngineStatus} from './engine-status.js';
import {readEngineStatus} from './read-engine-status.js';
import {type EngineOwnerTask} from './engine-owner-task.js';

const queueTickMs = 100;
const pollIntervalMs = 1000;
const engineReportTimeoutMs = 800;
/** A new owner grants nothing for this long, so that hosts can first report the grants that they hold. */
const adoptionWindowMs = 500;
/** Consecutive failed polls after which an engine is published as down. */
const failedPollsUntilDown = 2;
/** Ejection after the first failed run; it doubles with every further one, up to `maxEjectionMs`. */
const baseEjectionMs = 5000;
const maxEjectionMs = 60_000;

/** Error kind with which a slot request fails, for each reason for which the queue refuses a request. */
const refusalKinds: Readonly<Record<GrantRefusalReason, ErrorKind>> = {
	'queue-full': 'overloaded',
	deadline: 'deadline',
	leaving: 'no-upstream',
	withdrawn: 'deadline',
	'not-owner': 'not-ready',
};

/** Options of `createEngineOwnerTask`. */
type EngineOwnerTaskOptions = {
	readonly self: string;
	readonly domain: string;
	readonly owners: OwnerResolver;
	readonly membership: MembershipTask;
	readonly snapshot: () => ConfigSnapshot | undefined;
	readonly engineAt: (url: string) => Engine;
	readonly random: () => number;
};

/** An engine that this host owns. */
type OwnedEngine = {
	upstream: UpstreamSettings;
	readonly queue: EngineQueue;
	readonly flapDamper: FlapDamper;
	/** Keys of the pieces in the engine's cache. */
	readonly cached: Set<string>;
	/** Sequence number of the last cache event that was applied. */
	cacheSeq: number;
	/** Consecutive failed polls. */
	failedPolls: number;
	/** Fires at the earliest time at which `queue.tick` may grant a waiting request. */
	timer: NodeJS.Timeout | undefined;
	/** Consecutive failed runs. */
	failedRuns: number;
	/** Time until which the engine is ejected for its failed runs. */
	ejectedUntil: number;
	/** Whether the engine itself last reported that it is leaving. */
	reportedLeaving: boolean;
};

/** Callbacks of a slot request that waits for its grant. */
type PendingRequest = {
	readonly resolve: (response: SlotResponse) => void;
	readonly reject: (refusal: Refusal) => void;
};

/** Starts the task that queues requests for the engines that this host owns. */
export function createEngineOwnerTask(options: EngineOwnerTaskOptions): EngineOwnerTask {
	const {self, domain, owners, membership, snapshot, engineAt, random} = options;
	const engines = new Map<string, OwnedEngine>();
	const pendingRequests = new Map<string, PendingRequest>();

	/** Returns how many of the first `keys` are in the engine's cache without a gap. */
	const countCached = ({cached}: OwnedEngine, keys: readonly string[]): number => {
		const firstMissing = keys.findIndex(key => !cached.has(key));
		return firstMissing === -1 ? keys.length : firstMissing;
	};

	/** Resolves or rejects the pending slot request (`action.ask`) of each action and schedules the next check of the queue. */
	const applyActions = (owned: OwnedEngine, actions: readonly GrantAction[]): void => {
		for (const action of actions) {
			const request = pendingRequests.get(action.ask.id);
			pendingRequests.delete(action.ask.id);
			if (action.kind === 'grant') {
				request?.resolve({cachedPieces: countCached(owned, action.ask.keys), waitMs: owned.queue.waitMs(performance.now())});
			} else {
				request?.reject(new Refusal(refusalKinds[action.reason], `engine ${action.ask.engine}: ${action.reason}`, 'no', action.retryAfterMs));
			}
		}

		scheduleWake(owned);
	};

	const scheduleWake = (owned: OwnedEngine): void => {
		clearTimeout(owned.timer);
		const now = performance.now();
		const nextAt = owned.queue.nextGrantAt(now);
		if (nextAt !== undefined && nextAt > now) {
			owned.timer = setTimeout(() => {
				applyActions(owned, owned.queue.tick(performance.now()));
			}, toDelayMs(nextAt - now));
		}
	};

	/** Combines the leaving states of the engine, the configuration and the operators, and passes a change to the queue. */
	const applyLeaving = (owned: OwnedEngine): void => {
		const now = performance.now();
		const leaving = owned.flapDamper.observe(
			owned.reportedLeaving || owned.upstream.leaving || isMarkedLeaving(membership.gossip, owned.upstream.name),
			now,
		);
		if (leaving !== owned.queue.state().leaving) {
			log.info({engine: owned.upstream.name, leaving}, 'engine leaving state changed');
			applyActions(owned, owned.queue.setLeaving(leaving, now));
		}
	};

	const publishStatus = (owned: OwnedEngine, status: EngineStatus): void => {
		const section = `engines/${domain}`;
		const known = readEngineStatus(membership.gossip, domain, owned.upstream.name);
		if (JSON.stringify(known) !== JSON.stringify(status)) {
			void membership.put(section, owned.upstream.name, status);
		}
	};

	/** Applies the engine's cache events; reads the whole list when events are missing, such as after a restart of the engine. */
	const refreshCachedPieces = async (owned: OwnedEngine, engine: Engine): Promise<void> => {
		const {seq, events} = await engine.listCacheEvents(owned.cacheSeq);
		const hasGap = seq < owned.cacheSeq || events.length !== seq - owned.cacheSeq;
		if (hasGap) {
			const list = await engine.listCachedPieces();
			owned.cached.clear();
			for (const key of list.keys) {
				owned.cached.add(key);
			}

			owned.cacheSeq = list.seq;
			return;
		}

		for (const event of events) {
			if (event.kind === 'added') {
				owned.cached.add(event.key);
			} else {
				owned.cached.delete(event.key);
			}
		}

		owned.cacheSeq = seq;
	};

	const recordRun = (owned: OwnedEngine, hasFailed: boolean): void => {
		owned.failedRuns = hasFailed ? owned.failedRuns + 1 : 0;
		if (hasFailed) {
			owned.ejectedUntil = performance.now() + Math.min(maxEjectionMs, baseEjectionMs * (2 ** (owned.failedRuns - 1)));
			const known = readEngineStatus(membership.gossip, domain, owned.upstream.name);
			publishStatus(owned, {loaded: known?.loaded ?? [], leaving: owned.queue.state().leaving, isUp: false});
		}
	};

	const poll = async (owned: OwnedEngine): Promise<void> => {
		const engine = engineAt(owned.upstream.url);
		try {
			const report = await engine.report(engineReportTimeoutMs);
			owned.failedPolls = 0;
			owned.reportedLeaving = report.leaving;
			applyLeaving(owned);
			publishStatus(owned, {loaded: report.loaded, leaving: owned.queue.state().leaving, isUp: performance.now() >= owned.ejectedUntil});
			await refreshCachedPieces(owned, engine);
		} catch {
			owned.failedPolls++;
			if (owned.failedPolls === failedPollsUntilDown) {
				const known = readEngineStatus(membership.gossip, domain, owned.upstream.name);
				publishStatus(owned, {loaded: known?.loaded ?? [], leaving: owned.queue.state().leaving, isUp: false});
			}
		}
	};

	const listOwnedUpstreams = (): ReadonlyArray<{readonly upstream: UpstreamSettings; readonly queueLimit: number}> => (snapshot()?.services ?? [])
		.filter(service => service.kind === 'model')
		.flatMap(service => service.upstreams.map(upstream => ({upstream, queueLimit: service.limits.queued})))
		.filter(({upstream}) => upstream.domain === domain && owners.inDomain(domain, upstream.name)?.name === self);

	const openQueue = (upstream: UpstreamSettings, queueLimit: number): void => {
		const owned: OwnedEngine = {
			upstream,
			queue: createEngineQueue({
				slots: upstream.slots, queueLimit, prefillTokensPerS: upstream.prefillTokensPerS, openAt: performance.now() + adoptionWindowMs, random,
			}),
			flapDamper: createFlapDamper(),
			cached: new Set(),
			cacheSeq: 0,
			failedPolls: 0,
			timer: undefined,
			failedRuns: 0,
			ejectedUntil: 0,
			reportedLeaving: false,
		};
		engines.set(upstream.name, owned);
		applyLeaving(owned);
		void poll(owned);
	};

	const closeQueue = (name: string): void => {
		const owned = engines.get(name)!;
		engines.delete(name);
		applyActions(owned, owned.queue.close(performance.now()));
	};

	const reconcile = (): void => {
		const upstreams = listOwnedUpstreams();
		const names = new Set(upstreams.map(({upstream}) => upstream.name));
		for (const name of engines.keys()) {
			if (!names.has(name)) {
				closeQueue(name);
			}
		}

		const liveHosts = new Set(membership.members().filter(member => member.state !== 'dead' && member.state !== 'left').map(member => member.name));
		for (const {upstream, queueLimit} of upstreams) {
			const known = engines.get(upstream.name);
			if (known) {
				known.upstream = upstream;
				applyActions(known, known.queue.setSlots(upstream.slots, performance.now()));
				applyActions(known, known.queue.dropUnavailableHosts(host => liveHosts.has(host), performance.now()));
				applyLeaving(known);
			} else {
				openQueue(upstream, queueLimit);
			}
		}
	};

	const tickTimer = setInterval(() => {
		for (const owned of engines.values()) {
			applyActions(owned, owned.queue.tick(performance.now()));
		}
	}, queueTickMs);
	const pollTimer = setInterval(() => {
		for (const owned of engines.values()) {
			void poll(owned);
		}
	}, pollIntervalMs);

	const ifOwned = (name: string, action: (owned: OwnedEngine) => void): Readonly<Record<string, never>> => {
		const owned = engines.get(name);
		if (owned) {
			action(owned);
		}

		return {};
	};

	return {
		reconcile,
		reset() {
			for (const name of engines.keys()) {
				closeQueue(name);
			}

			reconcile();
		},
		states: () => [...engines].map(([engine, {queue}]) => ({engine, ...queue.state()})),
		handlers: {
			'grant.ask': async request => new Promise((resolve, reject) => {
				const owned = engines.get(request.engine);
				if (!owned) {
					reject(new Refusal('not-ready', `this host does not own engine ${request.engine}`, 'no'));
					return;
				}

				pendingRequests.set(request.id, {resolve, reject});
				applyActions(owned, owned.queue.ask(request, performance.now()));
			}),
			'grant.withdraw': async ({engine, id}) => ifOwned(engine, owned => {
				applyActions(owned, owned.queue.withdraw(id, performance.now()));
			}),
			'grant.release': async ({engine, id, tokens, hasFailed}) => ifOwned(engine, owned => {
				recordRun(owned, hasFailed);
				applyActions(owned, owned.queue.release(id, tokens, performance.now()));
			}),
			async 'grant.renew'({host, grants}) {
				for (const grant of grants) {
					ifOwned(grant.engine, owned => {
						applyActions(owned, owned.queue.renew(host, [grant], performance.now()));
					});
				}

				return {};
			},
		},
		async stop() {
			clearInterval(tickTimer);
			clearInterval(pollTimer);
			for (const name of engines.keys()) {
				closeQueue(name);
			}
		},
	};
}
