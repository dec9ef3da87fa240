import {createUpstreamAnnouncements} from '../announcements/create-upstream-announcements.js';
import {takeDueLimits} from '../announcements/take-due-limits.js';
import {type UpstreamAnnouncements} from '../announcements/upstream-announcements.js';
import {type LinkLoss} from '../links/link-loss.js';
import {type UpstreamLinks} from '../links/upstream-links.js';
import {log} from '../observe/log.js';
import {createLoadTotals} from '../decide/forwarding/create-load-totals.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type UpstreamLoad} from '../reports/upstream-load.js';
import {type RequestCost} from './request-cost.js';
import {type UpstreamRegistry} from './upstream-registry.js';
import {type PlacedUpstream} from './placed-upstream.js';
import {type ResponseHead} from './response-head.js';
import {type ResponseListener} from './response-listener.js';
import {type InFlightRequest} from './in-flight-request.js';
import {type UpstreamConnectionPool} from './upstream-connection-pool.js';
import {type UpstreamRequest} from './upstream-request.js';
import {type Upstream} from './upstream.js';

/** Weight of the newest outcome in the moving average of failures. */
const newestOutcomeWeight = 0.1;
const firstFailureStatus = 500;
const misdirectedStatus = 421;
const unavailableStatus = 503;
/**
An upstream is unresponsive when it has sent no response head for this time plus `unresponsiveFactor` times the mean head
latency of its service, while a request waits for one.
*/
const unresponsiveBaseMs = 900;
const unresponsiveFactor = 4;
/** Weight of the newest value in the moving average of the time to a response head. */
const headLatencyWeight = 0.05;
/** Mean head latency assumed before the first response of a service. */
const initialHeadLatencyMs = 150;
/** Share of lower-priority prompt tokens that still run ahead of a request, since engines don't interrupt a prefill chunk in progress. */
const lowerPriorityShare = 0.25;

/** Errors of connections that nothing responded to; after any other one, the address refused the connection. */
const silentConnectErrors: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** An upstream, its connections and this host's observations of it. */
type Entry = {
	upstream: Upstream;
	/** Connection pool of the upstream. */
	readonly link: UpstreamConnectionPool;
	/** Called whenever the link is found silent. */
	readonly silenceListeners: Set<() => void>;
	/** Maximum number of connections that this host may open. */
	readonly connections: number;
	inFlight: number;
	/** Prompt tokens of requests without a response head, by priority. */
	readonly waitingTokens: Map<number, number>;
	/** KV cache memory of requests in flight, in tokens. */
	heldTokens: number;
	/** Start times of requests that wait for a response head. */
	readonly waiting: Set<{readonly since: number}>;
	/** When the last response head arrived. */
	lastAnswerAt: number;
	/** Until when the upstream gets no new requests. */
	avoidUntil: number;
	/** Moving average of failed requests, from 0 to 1. */
	failureShare: number;
	/** What it says of itself. */
	readonly announcements: UpstreamAnnouncements;
	/** Whether the upstream is no longer registered; its connections close after the last request. */
	isGone: boolean;
};

function describeLoss(error: Error & {code?: string}): LinkLoss {
	return silentConnectErrors.has(error.code ?? '') ? 'silent' : 'refused';
}

/** Other ends of a connection, and bytes that are no response, have come over the link. */
function isReset({code}: Error & {code?: string}): boolean {
	return code === 'ECONNRESET' || code === 'EPIPE';
}

function addTokens(tokens: Map<number, number>, priority: number, added: number): void {
	const total = (tokens.get(priority) ?? 0) + added;
	if (total > 0) {
		tokens.set(priority, total);
	} else {
		tokens.delete(priority);
	}
}

/** Merges weight versions: the registration may lag behind the versions learned from the upstream itself, and versions never decrease. */
function mergeWeights(existing: ReadonlyMap<string, number>, registered: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
	return new Map([...registered].map(([model, version]) => [model, Math.max(version, existing.get(model) ?? 0)]));
}

/** Dependencies of the upstream registry. */
type UpstreamRegistryOptions = {
	readonly now: () => number;
	/** Creates the connection pool of an upstream. */
	readonly link: (upstream: Upstream) => UpstreamConnectionPool;
	/** Returns the number of connections that this host may open to each upstream of a service. */
	readonly maxConnectionsFor: (service: string) => number;
	/** Tells which upstreams can be reached. */
	readonly links: UpstreamLinks;
};

/** Creates the registry of upstreams, with their connections and loads. */
export function createUpstreamRegistry({now, link, maxConnectionsFor, links}: UpstreamRegistryOptions): UpstreamRegistry {
	const entries = new Map<string, Entry>();
	const headLatencyMs = new Map<string, number>();
	const remoteLoads = createLoadTotals();

	const closeWhenIdle = (entry: Entry): void => {
		if (entry.isGone && entry.inFlight === 0) {
			entry.link.close();
		}
	};

	const remove = (id: string, entry: Entry, reason: string): void => {
		entries.delete(id);
		links.remove(id);
		entry.isGone = true;
		closeWhenIdle(entry);
		log.info({
			upstream: id, service: entry.upstream.service, inFlight: entry.inFlight, reason,
		}, 'upstream left');
	};

	/** Upstreams of a service become brittle together; a new start has said nothing yet. */
	const createAnnouncements = (upstream: Upstream): UpstreamAnnouncements => {
		const announcements = createUpstreamAnnouncements(upstream);
		const stated = [...entries.values()].filter(entry => entry.upstream.service === upstream.service).map(entry => entry.announcements.brittle.value());
		const turnedAwayPerS = stated.find(value => value !== undefined);
		if (turnedAwayPerS !== undefined) {
			announcements.assumeBrittle(turnedAwayPerS, now());
		}

		return announcements;
	};

	const add = (upstream: Upstream): void => {
		const connections = maxConnectionsFor(upstream.service);
		const silenceListeners = new Set<() => void>();
		const pool = link(upstream);
		links.add(upstream, () => {
			pool.closeIdle();
			for (const listener of silenceListeners) {
				listener();
			}
		});
		entries.set(upstream.id, {
			upstream,
			link: pool,
			silenceListeners,
			connections,
			inFlight: 0,
			waitingTokens: new Map(),
			heldTokens: 0,
			waiting: new Set(),
			lastAnswerAt: now(),
			avoidUntil: 0,
			failureShare: 0,
			announcements: createAnnouncements(upstream),
			isGone: false,
		});
		log.info({
			upstream: upstream.id, service: upstream.service, address: upstream.address, domain: upstream.domain,
		}, 'upstream joined');
	};

	const update = (upstream: Upstream): void => {
		const known = entries.get(upstream.id);
		if (known && (known.upstream.address !== upstream.address || known.upstream.startedAt !== upstream.startedAt)) {
			remove(upstream.id, known, 'started again');
			add(upstream);
			return;
		}

		if (!known) {
			add(upstream);
			return;
		}

		if (upstream.isLeaving && !known.upstream.isLeaving) {
			log.info({upstream: upstream.id, service: upstream.service, inFlight: known.inFlight}, 'upstream is leaving');
		}

		// A start that leaves does not come back; an older copy of the store may not know that it leaves.
		const isLeaving = upstream.isLeaving || (known.upstream.isLeaving && upstream.startedAt !== undefined);
		known.upstream = {...upstream, isLeaving, weights: mergeWeights(known.upstream.weights, upstream.weights)};
	};

	const isUnresponsive = (entry: Entry, at: number): boolean => {
		let oldest = Number.POSITIVE_INFINITY;
		for (const {since} of entry.waiting) {
			oldest = Math.min(oldest, since);
		}

		const limitMs = unresponsiveBaseMs + (unresponsiveFactor * (headLatencyMs.get(entry.upstream.service) ?? initialHeadLatencyMs));
		return at - Math.max(oldest, entry.lastAnswerAt) > limitMs;
	};

	const toLoad = ({upstream, inFlight, waitingTokens, heldTokens}: Entry): UpstreamLoad => ({
		id: upstream.id, inFlight, heldTokens, waitingTokens: [...waitingTokens],
	});

	const isReachable = ({upstream, link: pool}: Entry): boolean => links.isReachable(upstream.id, pool.hasIdle());

	const toView = (entry: Entry, at: number, priority: number): UpstreamView => {
		const others = remoteLoads.of(entry.upstream.id, at);
		let ahead = 0;
		let waiting = 0;
		for (const tokensOf of others ? [entry.waitingTokens, others.waitingTokens] : [entry.waitingTokens]) {
			for (const [ofPriority, tokens] of tokensOf) {
				waiting += tokens;
				ahead += ofPriority <= priority ? tokens : tokens * lowerPriorityShare;
			}
		}

		return {
			upstream: entry.upstream,
			inFlight: entry.inFlight + (others?.inFlight ?? 0),
			waitingTokens: ahead,
			isQueueing: waiting > 0,
			heldTokens: entry.heldTokens + (others?.heldTokens ?? 0),
			isUnresponsive: isUnresponsive(entry, at),
			isReachable: isReachable(entry),
			isEjected: at < entry.avoidUntil,
			failureShare: entry.failureShare,
			freeConnections: entry.connections - entry.inFlight,
			requestsPerS: entry.announcements.limit.value(),
			closedForMs: entry.announcements.closedForMs(at),
		};
	};

	const recordHeadLatency = (service: string, tookMs: number): void => {
		const mean = headLatencyMs.get(service) ?? initialHeadLatencyMs;
		headLatencyMs.set(service, mean + (headLatencyWeight * (tookMs - mean)));
	};

	/** A response with status 421 may come from another upstream at the address. */
	const recordAnnouncement = (entry: Entry, head: ResponseHead, askedAt: number): void => {
		const {announcement, status, requestId, isSigned, retryAfterMs = 0} = head;
		if (status === misdirectedStatus) {
			return;
		}

		entry.announcements.record(announcement, {askedAt, requestId, isSigned}, now());
		if (status === unavailableStatus && retryAfterMs > 0) {
			entry.announcements.rest(now() + retryAfterMs, requestId, now());
		}
	};

	const isLeaving = ({upstream, announcements}: Entry): boolean => upstream.isLeaving || announcements.isLeaving();

	const isUsable = (entry: Entry, service: string, softwareVersion = entry.upstream.softwareVersion): boolean =>
		entry.upstream.service === service && !isLeaving(entry) && softwareVersion === entry.upstream.softwareVersion;

	const findByAddress = (address: string): Entry | undefined => [...entries.values()].find(({upstream}) => upstream.address === address);

	const send = ({id, startedAt}: PlacedUpstream, request: UpstreamRequest, {waitingTokens, heldTokens, priority}: RequestCost, listener: ResponseListener): InFlightRequest => {
		const entry = entries.get(id);
		if (!entry || entry.upstream.startedAt !== startedAt) {
			queueMicrotask(() => {
				listener.onFail(new Error('the upstream has left'), false);
			});
			return {abort: () => undefined, resume: () => undefined};
		}

		const waitStart = {since: now()};
		const use = links.use(id);
		let hasHead = false;
		let hasFailed = false;
		let isAborted = false;
		entry.inFlight++;
		addTokens(entry.waitingTokens, priority, waitingTokens);
		entry.heldTokens += heldTokens;
		entry.waiting.add(waitStart);
		const recordAnswered = (): void => {
			if (entry.waiting.delete(waitStart)) {
				addTokens(entry.waitingTokens, priority, -waitingTokens);
			}
		};

		const recordEnded = (failed: boolean): void => {
			recordAnswered();
			use.end();
			entry.inFlight--;
			entry.heldTokens -= heldTokens;
			entry.failureShare += newestOutcomeWeight * ((failed ? 1 : 0) - entry.failureShare);
			closeWhenIdle(entry);
		};

		const running = entry.link.send(request, {
			onHead(head) {
				hasFailed = head.status >= firstFailureStatus && !head.isNotRun;
				recordAnswered();
				hasHead = true;
				entry.lastAnswerAt = now();
				use.recordContact();
				recordAnnouncement(entry, head, waitStart.since);
				recordHeadLatency(entry.upstream.service, now() - waitStart.since);
				listener.onHead(head);
			},
			onData(chunk) {
				use.recordContact();
				return listener.onData(chunk);
			},
			onEnd() {
				const isComplete = listener.onEnd();
				recordEnded(hasFailed || !isComplete);
				return isComplete;
			},
			onFail(error, wasSent) {
				recordEnded(!isAborted);
				if (!isAborted && !wasSent) {
					links.recordConnectFailure(id, describeLoss(error));
				} else if (!isAborted && !hasHead && isReset(error)) {
					links.recordBroken(id);
				}

				listener.onFail(error, wasSent);
			},
		});
		return {
			abort(reason, isFault) {
				isAborted = !isFault;
				running.abort(reason, isFault);
			},
			resume: running.resume,
		};
	};

	return {
		updateUpstreams(upstreams) {
			const listed = new Map(upstreams.map(upstream => [upstream.id, upstream]));
			for (const [id, entry] of entries) {
				if (!listed.has(id)) {
					remove(id, entry, 'no longer registered');
				}
			}

			for (const upstream of listed.values()) {
				update(upstream);
			}
		},
		listAvailable: (service, at, priority) => [...entries.values()]
			.filter(entry => entry.upstream.service === service && !isLeaving(entry))
			.map(entry => toView(entry, at, priority)),
		closedForMs(service, at, softwareVersion) {
			const closed = [...entries.values()]
				.filter(entry => isUsable(entry, service, softwareVersion))
				.map(entry => entry.announcements.closedForMs(at))
				.filter(closedForMs => closedForMs > 0);
			return closed.length > 0 ? Math.min(...closed) : undefined;
		},
		send,
		ejectUntil(id, untilMs) {
			const entry = entries.get(id);
			if (entry) {
				entry.avoidUntil = Math.max(entry.avoidUntil, untilMs);
			}
		},
		onSilence(id, listener) {
			const listeners = entries.get(id)?.silenceListeners;
			listeners?.add(listener);
			return () => {
				listeners?.delete(listener);
			};
		},
		getReach(service, softwareVersion) {
			const usable = [...entries.values()].filter(entry => isUsable(entry, service, softwareVersion));
			return {upstreams: usable.length, reachable: usable.filter(entry => isReachable(entry)).length};
		},
		listLostServices() {
			const services = new Map<string, boolean>();
			for (const entry of entries.values()) {
				const {service} = entry.upstream;
				services.set(service, (services.get(service) ?? false) || isReachable(entry));
			}

			return [...services].filter(([, hasReachable]) => !hasReachable).map(([service]) => service);
		},
		recordWeights(id, model, version) {
			const entry = entries.get(id);
			if (entry && (entry.upstream.weights.get(model) ?? 0) < version) {
				entry.upstream = {...entry.upstream, weights: new Map([...entry.upstream.weights, [model, version]])};
			}
		},
		announcements: id => entries.get(id)?.announcements,
		repeatStatements() {
			for (const each of [...entries.values()].flatMap(entry => entry.announcements.statements)) {
				each.repeat();
			}
		},
		takeDueLimits: at => takeDueLimits([...entries.values()].flatMap(entry => entry.announcements.statements), at),
		recordReportedLimits(source, limits, at) {
			for (const limit of limits) {
				const entry = entries.get(limit.id);
				if (entry && entry.upstream.startedAt === limit.startedAt) {
					entry.announcements.recordReported(limit, source, at);
				}
			}
		},
		ownInFlight: id => entries.get(id)?.inFlight ?? 0,
		inFlight: id => (entries.get(id)?.inFlight ?? 0) + (remoteLoads.of(id, now())?.inFlight ?? 0),
		recordControlResponse(address, head, askedAt) {
			const entry = findByAddress(address);
			if (entry) {
				recordAnnouncement(entry, head, askedAt);
			}
		},
		restsForMs: address => findByAddress(address)?.announcements.restsForMs(now()) ?? 0,
		get: id => entries.get(id)?.upstream,
		listAll: () => [...entries.values()].map(entry => entry.upstream),
		loads: () => [...entries.values()]
			.filter(entry => entry.inFlight > 0)
			.map(entry => toLoad(entry)),
		recordRemoteLoads(source, loads, at) {
			remoteLoads.replaceLoads(source, loads, at);
		},
	};
}
