import {log} from '../observe/log.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type UpstreamLoad} from './host-report.js';
import {type SendSize, type UpstreamBook} from './upstream-book.js';
import {
	type AnswerListener, type RunningSend, type UpstreamLink, type UpstreamMessage,
} from './upstream-link.js';
import {type Upstream} from './upstream.js';

/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.1;
/** A request waits unusually long for an answer's head after this time and several usual ones. */
const silentMs = 900;
const silentFactor = 4;
const usualWeight = 0.05;
const firstUsualMs = 150;
/** Reports of other hosts count for this long. */
const reportMs = 1500;

/** One upstream and what this host has seen of it. */
type Entry = {
	upstream: Upstream;
	readonly link: UpstreamLink;
	readonly connections: number;
	inFlight: number;
	waitingTokens: number;
	heldTokens: number;
	/** Start times of requests that wait for an answer's head. */
	readonly waiting: Set<{readonly since: number}>;
	lastAnswerAt: number;
	avoidUntil: number;
	failureShare: number;
	isGone: boolean;
};

/** An upstream's registration lags behind what was found out from it; its weights only ever go up. */
function mergeWeights(known: ReadonlyMap<string, number>, registered: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
	return new Map([...registered].map(([model, version]) => [model, Math.max(version, known.get(model) ?? 0)]));
}

/** What the book needs. */
type UpstreamBookOptions = {
	readonly now: () => number;
	/** Opens connections to an upstream. */
	readonly link: (upstream: Upstream, connections: number) => UpstreamLink;
	/** Connections that this host may open to an upstream of a service. */
	readonly connectionsOf: (service: string) => number;
};

/** Creates the book of upstreams. */
export function createUpstreamBook({now, link, connectionsOf}: UpstreamBookOptions): UpstreamBook {
	const entries = new Map<string, Entry>();
	const usualMs = new Map<string, number>();
	const reports = new Map<string, {readonly at: number; readonly loads: ReadonlyMap<string, UpstreamLoad>}>();

	const closeWhenIdle = (entry: Entry): void => {
		if (entry.isGone && entry.inFlight === 0) {
			entry.link.close();
		}
	};

	const remove = (id: string, entry: Entry, reason: string): void => {
		entries.delete(id);
		entry.isGone = true;
		closeWhenIdle(entry);
		log.info({
			upstream: id, service: entry.upstream.service, inFlight: entry.inFlight, reason,
		}, 'upstream left');
	};

	const add = (upstream: Upstream): void => {
		const connections = connectionsOf(upstream.service);
		entries.set(upstream.id, {
			upstream,
			link: link(upstream, connections),
			connections,
			inFlight: 0,
			waitingTokens: 0,
			heldTokens: 0,
			waiting: new Set(),
			lastAnswerAt: now(),
			avoidUntil: 0,
			failureShare: 0,
			isGone: false,
		});
		log.info({
			upstream: upstream.id, service: upstream.service, address: upstream.address, domain: upstream.domain,
		}, 'upstream joined');
	};

	const update = (upstream: Upstream): void => {
		const known = entries.get(upstream.id);
		if (known && (known.upstream.address !== upstream.address || known.upstream.bornAt !== upstream.bornAt)) {
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

		known.upstream = {...upstream, weights: mergeWeights(known.upstream.weights, upstream.weights)};
	};

	const isSilent = (entry: Entry, at: number): boolean => {
		let oldest = Number.POSITIVE_INFINITY;
		for (const {since} of entry.waiting) {
			oldest = Math.min(oldest, since);
		}

		const limitMs = silentMs + (silentFactor * (usualMs.get(entry.upstream.service) ?? firstUsualMs));
		return at - Math.max(oldest, entry.lastAnswerAt) > limitMs;
	};

	const sumOthers = (id: string, at: number): UpstreamLoad => {
		let inFlight = 0;
		let waitingTokens = 0;
		let heldTokens = 0;
		for (const report of reports.values()) {
			const load = at - report.at < reportMs ? report.loads.get(id) : undefined;
			inFlight += load?.inFlight ?? 0;
			waitingTokens += load?.waitingTokens ?? 0;
			heldTokens += load?.heldTokens ?? 0;
		}

		return {
			id, inFlight, waitingTokens, heldTokens,
		};
	};

	const toView = (entry: Entry, at: number): UpstreamView => {
		const others = sumOthers(entry.upstream.id, at);
		return {
			upstream: entry.upstream,
			inFlight: entry.inFlight + others.inFlight,
			waitingTokens: entry.waitingTokens + others.waitingTokens,
			heldTokens: entry.heldTokens + others.heldTokens,
			isSilent: isSilent(entry, at),
			isAvoided: at < entry.avoidUntil,
			failureShare: entry.failureShare,
			freeConnections: entry.connections - entry.inFlight,
		};
	};

	const noteUsual = (service: string, tookMs: number): void => {
		const usual = usualMs.get(service) ?? firstUsualMs;
		usualMs.set(service, usual + (usualWeight * (tookMs - usual)));
	};

	const send = (id: string, message: UpstreamMessage, {waitingTokens, heldTokens}: SendSize, listener: AnswerListener): RunningSend => {
		const entry = entries.get(id)!;
		const wait = {since: now()};
		entry.inFlight++;
		entry.waitingTokens += waitingTokens;
		entry.heldTokens += heldTokens;
		entry.waiting.add(wait);
		const answered = (): void => {
			if (entry.waiting.delete(wait)) {
				entry.waitingTokens -= waitingTokens;
			}
		};

		const ended = (failed: boolean): void => {
			answered();
			entry.inFlight--;
			entry.heldTokens -= heldTokens;
			entry.failureShare += failureWeight * ((failed ? 1 : 0) - entry.failureShare);
			closeWhenIdle(entry);
		};

		return entry.link.send(message, {
			onHead(head) {
				answered();
				entry.lastAnswerAt = now();
				noteUsual(entry.upstream.service, now() - wait.since);
				listener.onHead(head);
			},
			onData: listener.onData,
			onEnd() {
				ended(false);
				listener.onEnd();
			},
			onFail(error, wasSent) {
				ended(true);
				listener.onFail(error, wasSent);
			},
		});
	};

	return {
		apply(upstreams) {
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
		views: (service, at) => [...entries.values()]
			.filter(entry => entry.upstream.service === service && !entry.upstream.isLeaving)
			.map(entry => toView(entry, at)),
		send,
		avoid(id, untilMs) {
			const entry = entries.get(id);
			if (entry) {
				entry.avoidUntil = Math.max(entry.avoidUntil, untilMs);
			}
		},
		noteWeights(id, model, version) {
			const entry = entries.get(id);
			if (entry && (entry.upstream.weights.get(model) ?? 0) < version) {
				entry.upstream = {...entry.upstream, weights: new Map([...entry.upstream.weights, [model, version]])};
			}
		},
		inFlight: id => (entries.get(id)?.inFlight ?? 0) + sumOthers(id, now()).inFlight,
		get: id => entries.get(id)?.upstream,
		all: () => [...entries.values()].map(entry => entry.upstream),
		loads: () => [...entries.values()]
			.filter(entry => entry.inFlight > 0)
			.map(({upstream, inFlight, waitingTokens, heldTokens}) => ({
				id: upstream.id, inFlight, waitingTokens, heldTokens,
			})),
		noteLoads(host, loads, at) {
			reports.set(host, {at, loads: new Map(loads.map(load => [load.id, load]))});
		},
	};
}
