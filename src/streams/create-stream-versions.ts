import {setImmediate} from 'node:timers/promises';
import {rankOwners} from '../decide/membership/rank-owners.js';
import {createStreamIndex} from '../decide/streams/create-stream-index.js';
import {createVersionHistory} from '../decide/streams/create-version-history.js';
import {groupStreams} from '../decide/streams/group-streams.js';
import {createLongestWaits} from '../decide/streams/create-longest-waits.js';
import {nameUnlistedVersion} from '../decide/streams/name-unlisted-version.js';
import {streamCopies} from '../decide/streams/stream-copies.js';
import {type KnownHost} from '../reports/known-host.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {sleep} from '../util/sleep.js';
import {type RequiredVersion} from './required-version.js';
import {type SeenVersion} from './seen-version.js';
import {type StreamArchive} from './stream-archive.js';
import {type StreamGroup} from './stream-group.js';
import {type StreamSearch} from './stream-search.js';
import {type StreamVersions} from './stream-versions.js';
import {createVersionFinder} from './create-version-finder.js';
import {type TakenUpStream} from './taken-up-stream.js';
import {type VersionKnowledge} from './version-knowledge.js';

/** A stream is taken up within its caller's deadline, which is far shorter. */
const retentionMs = 60_000;
const maxStreams = 50_000;
/** Streams at the oldest version that begin within this time are told together. */
const tellDelayMs = 20;
const maxToldAtOnce = 100;
const reviewIntervalMs = 1000;
const askTimeoutMs = 400;

/** Dependencies of the stream versions. */
type StreamVersionsOptions = {
	readonly listUpstreams: () => readonly Upstream[];
	/** Returns how many upstreams of a version take new work, and how many of them can be reached from this host. */
	readonly getReach: UpstreamRegistry['getReach'];
	/** Returns the other hosts that are told: those that this host and that hear each other. */
	readonly listInReach: () => readonly KnownHost[];
	/** Returns the other hosts that are asked, and told where none is in reach. */
	readonly listReachable: () => readonly KnownHost[];
	/** Returns the other hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	readonly call: PeerRpc;
	readonly knowledge: VersionKnowledge;
	/** Opens what lies in the store; `onVersions` is called with the versions that it shows. */
	readonly openArchive: (retentionMs: number, onVersions: (seen: readonly SeenVersion[]) => void) => StreamArchive;
	/** Sends groups of streams to a host, as a datagram. */
	readonly tell: (host: KnownHost, groups: readonly StreamGroup[]) => void;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/**
Creates the record of the software versions that began streams. Each host keeps those of its own streams; while a service has several versions, it
tells each to a few other hosts, chosen by rendezvous hashing, so that it outlives this host. A host that doesn't know asks.
*/
export function createStreamVersions({listUpstreams, getReach, listInReach, listReachable, alive, call, knowledge, openArchive, tell, now}: StreamVersionsOptions): StreamVersions {
	const index = createStreamIndex(retentionMs, maxStreams);
	/** Versions listed here, and those that others report besides. */
	const ownHistory = createVersionHistory(retentionMs);
	const history = createVersionHistory(retentionMs);
	const startedAt = now();
	/** Ids of this host's streams that no other host has been told of, in the order in which they are told. */
	let untold: string[] = [];
	let tellTimer: NodeJS.Timeout | undefined;
	let reviewedAt = Number.NEGATIVE_INFINITY;
	const mixedServices = new Set<string>();
	const archive = openArchive(retentionMs, seen => {
		recordSeen(seen);
	});
	const longestWaits = createLongestWaits();
	/** Whether this host has been there since before a service had several versions, or since before a stream can have begun. */
	const remembers = ({service, maxAgeMs}: Omit<StreamSearch, 'id'>): boolean => archive.isFromBefore(service) || now() - startedAt >= maxAgeMs;
	const finder = createVersionFinder({
		alive, listReachable, listHeard: knowledge.listHeard, call, archive, remembers, takesNewWork: (service, version) => getReach(service, version).upstreams > 0,
	});

	/** Whether a stream of a service may only be taken up where the version that began it is known. */
	const mustBeKnown = (service: string): boolean => history.isMixed(service, now()) || archive.doubtMs() > 0;

	const tellNext = (): void => {
		tellTimer = undefined;
		const known = untold.flatMap(id => {
			const record = index.lookUp(id, now());
			return record ? [{id, ...record}] : [];
		});
		const due = known.filter(({service}) => mustBeKnown(service)).slice(0, maxToldAtOnce);
		for (const {id, service, version} of due) {
			archive.add(id, service, version);
		}

		const dueIds = new Set(due.map(({id}) => id));
		untold = known.filter(({id}) => !dueIds.has(id)).map(({id}) => id);
		const inReach = listInReach();
		const hosts = new Map((inReach.length > 0 ? inReach : listReachable()).map(host => [host.host, host]));
		const names = [...hosts.keys()];
		for (const [name, groups] of groupStreams(due.map(stream => ({...stream, hosts: rankOwners(names, stream.id).slice(0, streamCopies.most)})))) {
			tell(hosts.get(name)!, groups);
		}

		if (due.length === maxToldAtOnce) {
			scheduleTelling();
		}
	};

	const scheduleTelling = (): void => {
		tellTimer ??= setTimeout(tellNext, tellDelayMs);
	};

	/** A stream that nobody knows is taken for one of the oldest version, so that others are told of this one at once. */
	const tellFirst = (id: string): void => {
		untold.unshift(id);
		clearTimeout(tellTimer);
		tellTimer = setTimeout(tellNext, 0);
	};

	const reviewMixed = (): void => {
		for (const service of new Set(listUpstreams().map(upstream => upstream.service))) {
			const isMixed = history.isMixed(service, now());
			if (isMixed && !mixedServices.has(service)) {
				mixedServices.add(service);
				log.info({service, versions: history.listMixed(now()).filter(seen => seen.service === service)}, 'service has several software versions');
				scheduleTelling();
			} else if (!isMixed && mixedServices.delete(service)) {
				log.info({service}, 'service has one software version');
			}
		}
	};

	/** The version is kept, since another one may come before the stream has gone on. */
	const anyOf = (service: string): RequiredVersion => ({kind: 'any', version: history.findOnly(service, now())});

	/**
	Finds the version of a stream where this host knows of one version only and can't be sure that there is no other. The store settles it, since a version
	is listed there before it begins a stream; without the store, only all other hosts together do.
	*/
	const findInDoubt = async (search: StreamSearch, requestId: string, timeoutMs: number): Promise<RequiredVersion | 'mixed'> => {
		const {id: begunBy, service} = search;
		const asking = finder.askHeard(search, timeoutMs);
		const [isConfirmed, stored] = await Promise.all([knowledge.confirm(timeoutMs), Promise.race([archive.lookUp(begunBy), sleep(timeoutMs).then(() => undefined)])]);
		if (isConfirmed && !history.isMixed(service, now())) {
			return anyOf(service);
		}

		const {found, silent} = await asking;
		const version = found?.version ?? stored;
		log.info({
			requestId, service, begunBy, isConfirmed, version, silent,
		}, 'this host may not know of each version that serves');
		if (version !== undefined) {
			return {kind: 'one', version};
		}

		if (history.isMixed(service, now())) {
			return 'mixed';
		}

		return silent.length === 0 ? anyOf(service) : {kind: 'unknown'};
	};

	const findRequired = async ({service, begunBy, requestId, route, waitMs, endsAt}: TakenUpStream): Promise<RequiredVersion> => {
		const search = {id: begunBy ?? '', service, maxAgeMs: Math.min(retentionMs, longestWaits.extend(route, waitMs))};
		const known = begunBy === undefined ? undefined : index.lookUp(begunBy, now());
		const leftMs = Math.min(askTimeoutMs, Math.max(1, endsAt - now()));
		if (!known && !await archive.waitUntilRead(leftMs)) {
			log.info({requestId, service, begunBy}, 'stream cannot go on, this host has just started and the store does not respond');
			return {kind: 'unknown'};
		}

		const doubtMs = archive.doubtMs();
		if (!known && doubtMs === 0 && !history.isMixed(service, now())) {
			const required = knowledge.isInStep() ? anyOf(service) : await findInDoubt(search, requestId, leftMs);
			if (required !== 'mixed') {
				return required;
			}
		}

		const ask = async () => begunBy === undefined ? undefined : finder.findVersion(search, leftMs);
		const found = known ? {version: known.version, from: 'here'} : await ask();
		log.info({
			requestId, service, begunBy, version: found?.version, from: found?.from, ageMs: known && Math.round(now() - known.at), doubtMs: Math.round(doubtMs),
		}, found ? 'stream goes on at its version' : 'stream cannot go on, its version is unknown');
		if (found) {
			return {kind: 'one', version: found.version};
		}

		return doubtMs > 0 ? {kind: 'unknown', retryAfterMs: doubtMs} : {kind: 'unknown'};
	};

	const recordSeen = (seen: readonly SeenVersion[]): void => {
		for (const {service, version, ageMs} of seen) {
			history.record(service, version, now() - ageMs);
		}
	};

	const recordVersions = (upstreams: readonly Upstream[]): void => {
		const listed = new Map<string, Set<string>>();
		for (const {service, softwareVersion} of upstreams) {
			listed.set(service, (listed.get(service) ?? new Set()).add(softwareVersion));
			ownHistory.record(service, softwareVersion, now());
			history.record(service, softwareVersion, now());
		}

		archive.recordListed(listed);
	};

	return {
		recordUpstreams(upstreams) {
			recordVersions(upstreams);
			reviewMixed();
		},
		recordBegin(requestId, service, version) {
			index.add(requestId, service, version, now());
			if (!mustBeKnown(service)) {
				untold.push(requestId);
			} else if (version === archive.findOldest(service)) {
				untold.push(requestId);
				scheduleTelling();
			} else {
				tellFirst(requestId);
			}
		},
		async findBeginVersion(service, requestId) {
			if (!history.isMixed(service, now()) || knowledge.canTellOthers()) {
				return undefined;
			}

			// What others sent while this process was kept from running is read first.
			await setImmediate();
			if (knowledge.canTellOthers()) {
				return undefined;
			}

			const version = archive.findOldestListed(service);
			const reach = getReach(service, version);
			// Hosts that hear each other serve on without reaching that version; one alone leaves the stream to a host that the others hear.
			const isAny = reach.upstreams === 0 || (reach.reachable === 0 && knowledge.isInReach());
			log.info({
				requestId, service, version, isAny,
			}, 'this host cannot tell enough other ones of a stream, which begins at the oldest version');
			return isAny ? undefined : version;
		},
		toListed(service, version) {
			const isStart = (upstream: Upstream): boolean =>
				upstream.service === service && upstream.startedAt !== undefined && nameUnlistedVersion(upstream.id, upstream.startedAt) === version;
			return version === undefined ? undefined : listUpstreams().find(upstream => isStart(upstream))?.softwareVersion ?? version;
		},
		findRequired,
		receive(groups) {
			for (const {service, version, ids} of groups) {
				for (const id of ids) {
					index.add(id, service, version, now());
				}
			}
		},
		answer: ({id, service, maxAgeMs = retentionMs}) => ({
			version: index.lookUp(id, now())?.version ?? null, remembers: service !== undefined && remembers({service, maxAgeMs}),
		}),
		reviewVersions() {
			knowledge.tick();
			if (now() - reviewedAt >= reviewIntervalMs) {
				reviewedAt = now();
				recordVersions(listUpstreams());
				untold = untold.filter(id => index.lookUp(id, now()) !== undefined);
				reviewMixed();
			}

			return ownHistory.listMixed(now());
		},
		recordSeenVersions(seen) {
			recordSeen(seen);
			if (seen.some(({service}) => !mixedServices.has(service))) {
				reviewMixed();
			}
		},
		hasUnstored: () => tellTimer !== undefined || archive.hasUnwritten(),
		async flush(timeoutMs) {
			clearTimeout(tellTimer);
			tellNext();
			await archive.flush(timeoutMs);
		},
		stop() {
			clearTimeout(tellTimer);
			archive.stop();
		},
	};
}
