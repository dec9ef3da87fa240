import {nameUnlistedVersion} from '../decide/streams/name-unlisted-version.js';
import {createUpstreamAnnouncements} from '../announcements/create-upstream-announcements.js';
import {takeDueLimits} from '../announcements/take-due-limits.js';
import {type UpstreamAnnouncements} from '../announcements/upstream-announcements.js';
import {createLoadTotals} from '../decide/forwarding/create-load-totals.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type Service} from '../forwarding/service.js';
import {type UpstreamConnectionPool} from '../forwarding/upstream-connection-pool.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type UpstreamLinks} from '../links/upstream-links.js';
import {log} from '../observe/log.js';
import {type UpstreamPaces} from '../pace/upstream-paces.js';
import {type UpstreamLoad} from '../reports/upstream-load.js';
import {createColdGate} from './create-cold-gate.js';
import {createHeadLatencies} from './create-head-latencies.js';
import {createUpstreamSender} from './create-upstream-sender.js';
import {createColdnessRecorder} from './create-coldness-recorder.js';
import {recordAnnouncement} from './record-announcement.js';
import {toUpstreamView} from './to-upstream-view.js';
import {type UpstreamContact} from './upstream-contact.js';
import {type UpstreamEntry} from './upstream-entry.js';
import {type UpstreamRegistry} from './upstream-registry.js';

/** Merges weight versions: the registration may lag behind the versions learned from the upstream itself, and versions never decrease. */
function mergeWeights(existing: ReadonlyMap<string, number>, registered: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
	return new Map([...registered].map(([model, version]) => [model, Math.max(version, existing.get(model) ?? 0)]));
}

/** What a connection pool tells of its connections. */
type ConnectionListener = {
	readonly onOpen: () => void;
	/** Called when the upstream ends a connection on which nothing is under way. */
	readonly onIdleEnd: () => void;
};

/** Dependencies of the upstream registry. */
type UpstreamRegistryOptions = {
	readonly now: () => number;
	/** Creates the connection pool of an upstream. */
	readonly link: (upstream: Upstream, listener: ConnectionListener) => UpstreamConnectionPool;
	/** Returns the number of connections that this host may open to each upstream of a service. */
	readonly maxConnectionsFor: (service: string) => number;
	/** Tells which upstreams can be reached. */
	readonly links: UpstreamLinks;
	/** Returns what the configuration says of the cold upstreams of a service. Without it, none is cold. */
	readonly findColdLimit?: (service: string) => Pick<Service, 'coldPerS' | 'coldStartMs'> | undefined;
	/** Whether a failure domain is out of service, so that nothing more is sent to its upstreams. */
	readonly isEvacuated?: (domain: string) => boolean;
	/** Limits on requests in flight that follow the upstreams' answers; `undefined` for none. */
	readonly paces?: UpstreamPaces | undefined;
};

/** Creates the registry of upstreams, with their connections and loads. */
export function createUpstreamRegistry({
	now, link, maxConnectionsFor, links, findColdLimit = () => undefined, isEvacuated = () => false, paces,
}: UpstreamRegistryOptions): UpstreamRegistry {
	const entries = new Map<string, UpstreamEntry>();
	const headLatencies = createHeadLatencies();
	const remoteLoads = createLoadTotals();
	let hasList = false;

	const coldnessRecorder = createColdnessRecorder({wallClock: Date.now, now});

	const closeWhenIdle = (entry: UpstreamEntry): void => {
		if (entry.isGone && entry.inFlight === 0) {
			entry.link.close();
		}
	};

	const remove = (id: string, entry: UpstreamEntry, reason: string): void => {
		entries.delete(id);
		coldnessRecorder.recordRemoved(id);
		links.remove(id);
		paces?.remove(id);
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

	const add = (upstream: Upstream, hasStarted: boolean): void => {
		paces?.add(upstream, hasStarted);
		const silenceListeners = new Set<() => void>();
		const coldGate = createColdGate(upstream, () => findColdLimit(upstream.service));
		coldnessRecorder.recordAdded(coldGate, upstream);
		const never = Number.NEGATIVE_INFINITY;
		const contact: UpstreamContact = {
			openedAt: never, brokenAt: never, askedAt: never, toldAt: never, untoldAt: never,
		};
		const recordBroken = (): void => {
			coldGate.recordBroken(now());
			contact.brokenAt = now();
		};

		const pool = link(upstream, {
			onOpen() {
				contact.openedAt = now();
			},
			onIdleEnd() {
				recordBroken();
				if (coldGate.forMs(now()) > 0) {
					// A probe tells whether it has started again, or only closes idle connections.
					links.recordBroken(upstream.id);
				}
			},
		});
		links.add(upstream, () => {
			recordBroken();
			pool.closeIdle();
			for (const listener of silenceListeners) {
				listener();
			}
		});
		entries.set(upstream.id, {
			upstream,
			link: pool,
			silenceListeners,
			inFlight: 0,
			waitingTokens: new Map(),
			heldTokens: 0,
			waiting: new Set(),
			lastAnswerAt: now(),
			avoidUntil: 0,
			failureShare: 0,
			announcements: createAnnouncements(upstream),
			coldGate,
			contact,
			recordBroken,
			unlistedStart: undefined,
			isGone: false,
		});
		log.info({
			upstream: upstream.id, service: upstream.service, address: upstream.address, domain: upstream.domain,
		}, 'upstream joined');
	};

	const update = (upstream: Upstream, hasStarted: boolean): void => {
		const known = entries.get(upstream.id);
		if (known && (known.upstream.address !== upstream.address || known.upstream.startedAt !== upstream.startedAt)) {
			remove(upstream.id, known, 'started again');
			add(upstream, true);
			return;
		}

		if (!known) {
			add(upstream, hasStarted);
			return;
		}

		if (upstream.isLeaving && !known.upstream.isLeaving) {
			log.info({upstream: upstream.id, service: upstream.service, inFlight: known.inFlight}, 'upstream is leaving');
		}

		// A start that leaves does not come back; an older copy of the store may not know that it leaves.
		const isLeaving = upstream.isLeaving || (known.upstream.isLeaving && upstream.startedAt !== undefined);
		coldnessRecorder.recordListed(known.coldGate, upstream);
		const softwareVersion = known.unlistedStart === undefined ? upstream.softwareVersion : known.upstream.softwareVersion;
		known.upstream = {
			...upstream, isLeaving, softwareVersion, weights: mergeWeights(known.upstream.weights, upstream.weights),
		};
		paces?.update(known.upstream);
	};

	const toLoad = ({upstream, inFlight, waitingTokens, heldTokens}: UpstreamEntry): UpstreamLoad => ({
		id: upstream.id, inFlight, heldTokens, waitingTokens: [...waitingTokens],
	});

	const isReachable = ({upstream, link: pool}: UpstreamEntry): boolean => links.isReachable(upstream.id, pool.hasIdle());

	const isLeaving = ({upstream, announcements}: UpstreamEntry): boolean => upstream.isLeaving || announcements.isLeaving();

	const isUsable = (entry: UpstreamEntry, service: string, softwareVersion = entry.upstream.softwareVersion): boolean =>
		entry.upstream.service === service && !isLeaving(entry) && !isEvacuated(entry.upstream.domain) && softwareVersion === entry.upstream.softwareVersion;

	const findByAddress = (address: string): UpstreamEntry | undefined => [...entries.values()].find(({upstream}) => upstream.address === address);

	const toView = (entry: UpstreamEntry, at: number, priority: number): UpstreamView => toUpstreamView(entry, at, {
		others: remoteLoads.of(entry.upstream.id, at), connections: maxConnectionsFor(entry.upstream.service), isReachable: isReachable(entry),
		meanHeadLatencyMs: headLatencies.mean(entry.upstream.service), priority, paces,
	});

	return {
		updateUpstreams(upstreams) {
			const listed = new Map(upstreams.map(upstream => [upstream.id, upstream]));
			for (const [id, entry] of entries) {
				if (!listed.has(id)) {
					remove(id, entry, 'no longer registered');
				}
			}

			// What a host that has just started finds may be warm; what joins later has started.
			const hasStarted = hasList;
			hasList ||= listed.size > 0;
			for (const upstream of listed.values()) {
				update(upstream, hasStarted);
			}
		},
		listAvailable: (service, at, priority) => [...entries.values()]
			.filter(entry => isUsable(entry, service))
			.map(entry => toView(entry, at, priority)),
		closedForMs(service, at, softwareVersion) {
			const closed = [...entries.values()]
				.filter(entry => isUsable(entry, service, softwareVersion))
				.map(entry => Math.max(entry.announcements.closedForMs(at), entry.coldGate.closedForMs(at)))
				.filter(closedForMs => closedForMs > 0);
			return closed.length > 0 ? Math.min(...closed) : undefined;
		},
		send: createUpstreamSender({
			entries, links, headLatencies, closeWhenIdle, isEvacuated, now, paces,
			inFlight: id => (entries.get(id)?.inFlight ?? 0) + (remoteLoads.of(id, now())?.inFlight ?? 0),
		}),
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
				const {service, domain} = entry.upstream;
				services.set(service, (services.get(service) ?? false) || (isReachable(entry) && !isEvacuated(domain)));
			}

			return [...services].filter(([, hasReachable]) => !hasReachable).map(([service]) => service);
		},
		recordWeights(id, model, version) {
			const entry = entries.get(id);
			if (entry && (entry.upstream.weights.get(model) ?? 0) < version) {
				entry.upstream = {...entry.upstream, weights: new Map([...entry.upstream.weights, [model, version]])};
			}
		},
		contact(id) {
			const entry = entries.get(id);
			return entry && {...entry.contact, hasIdle: entry.link.hasIdle()};
		},
		recordStart(id, startedAt, askedAt) {
			const entry = entries.get(id);
			if (!entry) {
				return false;
			}

			if (startedAt === undefined) {
				entry.contact.untoldAt = now();
				return true;
			}

			entry.contact.askedAt = askedAt;
			entry.contact.toldAt = now();
			if (startedAt === (entry.unlistedStart ?? entry.upstream.startedAt)) {
				return true;
			}

			log.warn({upstream: id, listed: entry.upstream.startedAt, startedAt}, 'upstream has started again and the list does not show it, its software version is not known');
			entry.unlistedStart = startedAt;
			entry.upstream = {...entry.upstream, softwareVersion: nameUnlistedVersion(id, startedAt)};
			return false;
		},
		coldGate: id => entries.get(id)?.coldGate,
		markCold(ids, forMs, at) {
			for (const id of ids) {
				entries.get(id)?.coldGate.record({forMs, askedAt: at, answeredAt: at});
			}
		},
		listCold: at => [...entries.values()].flatMap(({upstream: {id, startedAt}, coldGate}) => {
			const forMs = Math.round(coldGate.forMs(at));
			return forMs > 0 ? [{id, startedAt, forMs}] : [];
		}),
		recordReportedCold(reported, at) {
			for (const {id, startedAt, forMs} of reported) {
				const entry = entries.get(id);
				if (entry && entry.upstream.startedAt === startedAt) {
					// When the other host's source was asked is unknown.
					entry.coldGate.record({forMs, askedAt: Number.NEGATIVE_INFINITY, answeredAt: at});
				}
			}
		},
		announcements: id => entries.get(id)?.announcements,
		listStatements: at => [...entries.values()].flatMap(entry => entry.announcements.statements).flatMap(each => each.toReported(at) ?? []),
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
				recordAnnouncement(entry, head, askedAt, now());
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
