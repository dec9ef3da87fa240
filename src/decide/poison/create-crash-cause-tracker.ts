import {type CondemnedParts} from './condemned-parts.js';
import {coversParts} from './covers-parts.js';
import {type CrashCauseTracker} from './crash-cause-tracker.js';
import {type CrashedRequest} from './crashed-request.js';
import {createPartSuspicions} from './create-part-suspicions.js';
import {createPartTrials} from './create-part-trials.js';
import {type PartSuspicion} from './part-suspicion.js';
import {poisonLimits} from './poison-limits.js';

const {
	retentionMs, settleMs, provisionalMs, crashesToCondemnRequest, crashesToConfirmRequest, crashesToCondemnParts, maxEvents, maxRequests, maxCondemned,
} = poisonLimits;

/** A crash of an upstream with the requests that were in flight there and have not been cleared. */
type CrashEvent = {
	readonly at: number;
	readonly requests: Map<string, CrashedRequest>;
	/** Whether condemned parts were in flight, so that the crash says nothing about other requests. */
	isExplained: boolean;
	/** Whether all hosts have had time to report it. */
	hasSettled: boolean;
};

/** A request that was in flight at crashes. */
type RequestRecord = {
	readonly events: Set<string>;
	lastCrashAt: number;
	/** Whether no other request can have caused one of the crashes. */
	isConfirmed: boolean;
	/** Whether it has been handed to the list of condemned requests. */
	isAnnounced: boolean;
	/** Until when another host has condemned it. */
	condemnedUntil: number;
};

/**
Creates the tracker.

A request is condemned by its second crash. If other requests were in flight at all of its crashes, it is refused for a few seconds only: it may have
merely run beside the one that crashes upstreams.

A part of prompts is suspected by each crash during which a request with it was in flight, and cleared by each request with it that
completes. The parts that a crash's requests share with most earlier crashes are condemned by the third; those that always came together
are condemned together, so that requests which hold only some of them are served. A crash that condemned parts explain is not held against the
other requests that were in flight.
*/
export function createCrashCauseTracker(): CrashCauseTracker {
	const events = new Map<string, CrashEvent>();
	const requests = new Map<string, RequestRecord>();
	const suspicions = createPartSuspicions();
	const trials = createPartTrials();
	let condemnedParts: readonly CondemnedParts[] = [];
	const unsettled = new Set<CrashEvent>();
	let newDigests: string[] = [];
	let newParts: CondemnedParts[] = [];

	const isLasting = (record: RequestRecord): boolean => record.isConfirmed || record.events.size >= crashesToConfirmRequest;

	const getRefusedUntil = (record: RequestRecord): number => {
		const refusalMs = isLasting(record) ? retentionMs : provisionalMs;
		return Math.max(record.condemnedUntil, record.events.size < crashesToCondemnRequest ? 0 : record.lastCrashAt + refusalMs);
	};

	const isRefused = (record: RequestRecord, now: number): boolean => now < getRefusedUntil(record);

	const listUpstreams = (keys: Iterable<string>): readonly string[] => [...keys].map(key => key.split('\n')[0]!);

	const dropExpired = (now: number): void => {
		for (const [key, event] of events) {
			if (now - event.at > retentionMs || events.size > maxEvents) {
				events.delete(key);
				unsettled.delete(event);
			}
		}

		for (const [digest, {lastCrashAt, condemnedUntil}] of requests) {
			if (now > Math.max(lastCrashAt + retentionMs, condemnedUntil) || requests.size > maxRequests) {
				requests.delete(digest);
			}
		}

		suspicions.dropExpired(now);
		condemnedParts = condemnedParts.filter(({until}) => until > now);
	};

	/** Takes a crash that is explained by `parts` off the other requests and parts. */
	const explain = (key: string, event: CrashEvent, parts: readonly string[]): void => {
		event.isExplained = true;
		suspicions.discount(key, parts);
		for (const [digest, request] of event.requests) {
			const record = requests.get(digest);
			if (record && !coversParts({parts}, request)) {
				record.events.delete(key);
				event.requests.delete(digest);
			}
		}
	};

	const condemnParts = (condemned: CondemnedParts): void => {
		condemnedParts = [condemned, ...condemnedParts.filter(known => !coversParts(condemned, known))].slice(0, maxCondemned);
		for (const [key, event] of events) {
			if ([...event.requests.values()].some(request => coversParts(condemned, request))) {
				explain(key, event, condemned.parts);
			}
		}
	};

	/** Of the parts in flight at a crash, finds those under which most upstreams have crashed, and those that always came with them. */
	const findCondemnable = (event: CrashEvent): {readonly found: PartSuspicion; readonly parts: readonly string[]} | undefined => {
		const inFlight = [...event.requests.values()].flatMap(request => suspicions.list(request.parts));
		const most = Math.max(0, ...inFlight.map(({keys}) => keys.size));
		const [first, ...others] = inFlight.filter(({keys}) => keys.size === most);
		if (!first || most < crashesToCondemnParts) {
			return undefined;
		}

		const parts = [first.part, ...first.companions].filter(part => suspicions.list([part])[0]?.keys.size === most);
		const isAmbiguous = others.some(({part}) => !parts.includes(part));
		return isAmbiguous && most === crashesToCondemnParts ? undefined : {found: first, parts};
	};

	const isCondemned = (condemned: CondemnedParts): boolean =>
		condemnedParts.some(known => coversParts(known, condemned) && coversParts(condemned, known));

	const condemnFoundParts = (event: CrashEvent): void => {
		const condemnable = findCondemnable(event);
		if (!condemnable) {
			return;
		}

		const {found: {workspaces, keys}, parts} = condemnable;
		const condemned: CondemnedParts = {
			parts, workspace: workspaces.size === 1 ? [...workspaces][0] : undefined, until: event.at + retentionMs, upstreams: listUpstreams(keys),
		};
		if (!isCondemned(condemned)) {
			newParts.push(condemned);
			condemnParts(condemned);
		}
	};

	/** A request that is left alone at a crash caused it; with a second crash that is proof enough. */
	const confirmRequests = (event: CrashEvent, now: number): void => {
		for (const digest of event.requests.keys()) {
			const record = requests.get(digest);
			if (record && record.events.size >= crashesToCondemnRequest) {
				record.isConfirmed ||= event.hasSettled && !event.isExplained && event.requests.size === 1;
				if (isLasting(record) && !record.isAnnounced && isRefused(record, now)) {
					record.isAnnounced = true;
					newDigests.push(digest);
				}
			}
		}
	};

	/** Decides on crashes that all hosts have had time to report. */
	const settle = (now: number): void => {
		for (const event of unsettled) {
			if (now - event.at >= settleMs) {
				unsettled.delete(event);
				event.hasSettled = true;
				condemnFoundParts(event);
				for (const key of [...event.requests.keys()].flatMap(digest => [...requests.get(digest)?.events ?? []])) {
					const related = events.get(key);
					if (related) {
						confirmRequests(related, now);
					}
				}
			}
		}
	};

	const removePart = (part: string): void => {
		suspicions.clear(part);
		condemnedParts = condemnedParts.flatMap(condemned => {
			const parts = condemned.parts.filter(other => other !== part);
			return parts.length === 0 ? [] : [{...condemned, parts}];
		});
	};

	return {
		recordCrash({upstream, startedAt}, request, now) {
			const key = `${upstream}\n${startedAt}`;
			dropExpired(now);
			const event = events.get(key) ?? {
				at: now, requests: new Map<string, CrashedRequest>(), isExplained: false, hasSettled: false,
			};
			if (!events.has(key)) {
				events.set(key, event);
				unsettled.add(event);
			}

			const known = requests.get(request.digest);
			const earlier = event.requests.get(request.digest);
			if (known?.events.has(key) && (earlier?.parts.length ?? 0) >= request.parts.length) {
				return false;
			}

			const isExplaining = condemnedParts.some(condemned => coversParts(condemned, request));
			if (event.isExplained && !isExplaining) {
				return false;
			}

			event.requests.set(request.digest, request);
			suspicions.record(key, request, now);
			const record = known ?? {
				events: new Set<string>(), lastCrashAt: now, isConfirmed: false, isAnnounced: false, condemnedUntil: 0,
			};
			record.events.add(key);
			record.lastCrashAt = now;
			requests.set(request.digest, record);
			for (const condemned of condemnedParts) {
				if (coversParts(condemned, request)) {
					explain(key, event, condemned.parts);
				}
			}

			return true;
		},
		recordSuccess({digest, parts}, now) {
			const record = requests.get(digest);
			if (record && !isRefused(record, now)) {
				requests.delete(digest);
				for (const event of [...record.events].flatMap(key => events.get(key) ?? [])) {
					event.requests.delete(digest);
					confirmRequests(event, now);
				}
			}

			const cleared = parts.filter(part => suspicions.has(part) || condemnedParts.some(condemned => condemned.parts.includes(part)));
			for (const part of parts) {
				removePart(part);
			}

			return cleared;
		},
		clearParts(parts) {
			for (const part of parts) {
				removePart(part);
			}
		},
		addCondemnedRequest(digest, until) {
			const record = requests.get(digest) ?? {
				events: new Set<string>(), lastCrashAt: Number.NEGATIVE_INFINITY, isConfirmed: true, isAnnounced: true, condemnedUntil: 0,
			};
			record.condemnedUntil = Math.max(record.condemnedUntil, until);
			record.isAnnounced = true;
			requests.set(digest, record);
		},
		addCondemnedParts(condemned) {
			if (!isCondemned(condemned)) {
				condemnParts(condemned);
			}
		},
		findCause(request, now, hasTurn) {
			settle(now);
			const record = requests.get(request.digest);
			if (record && isRefused(record, now)) {
				return {
					kind: 'request', parts: [], upstreams: listUpstreams(record.events), until: getRefusedUntil(record),
				};
			}

			const condemned = condemnedParts.find(known => known.until > now && coversParts(known, request));
			if (!condemned || trials.take(condemned, now, hasTurn)) {
				return undefined;
			}

			return {
				kind: 'parts', parts: condemned.parts, upstreams: condemned.upstreams, until: condemned.until,
			};
		},
		takeNewlyCondemned(now) {
			settle(now);
			const taken = {digests: newDigests, parts: newParts};
			newDigests = [];
			newParts = [];
			return taken;
		},
		isEmpty: () => requests.size === 0 && condemnedParts.length === 0,
	};
}
