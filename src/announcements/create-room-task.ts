import {createRoomCounter} from '../decide/announcements/create-room-counter.js';
import {type Upstream} from '../forwarding/upstream.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {createIssuerFinder} from './create-issuer-finder.js';
import {type PermitResult} from './permit-result.js';
import {type ReportedLimit} from './reported-limit.js';
import {type RoomRequest} from './room-request.js';
import {type RoomTask} from './room-task.js';
import {type UpstreamAnnouncements} from './upstream-announcements.js';

const callTimeoutMs = 250;
/** An upstream whose counting host does not respond is closed for this long. */
const unknownClosedMs = 300;
const maxCounters = 2000;

/** What the task needs of the upstream registry. */
type Upstreams = {
	readonly get: (id: string) => Upstream | undefined;
	readonly announcements: (id: string) => UpstreamAnnouncements | undefined;
	readonly recordReportedLimits: (source: string, limits: readonly ReportedLimit[], now: number) => void;
	readonly inFlight: (id: string) => number;
	readonly ownInFlight: (id: string) => number;
};

/** Dependencies of the task. */
type RoomTaskOptions = {
	/** Name and failure domain of this host. */
	readonly self: {readonly host: string; readonly domain: string};
	readonly upstreams: Upstreams;
	/** Returns the other hosts that have reported within the last minute. */
	readonly listHeard: () => readonly KnownHost[];
	/** Returns those with a recent report. */
	readonly alive: () => readonly KnownHost[];
	readonly call: PeerRpc;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

const free = {isGranted: true, release: () => undefined} as const;

/**
Creates the slots of brittle upstreams. For each such upstream one host counts what all hosts have in flight there, and a host asks it before it
sends a request; no more is sent than the upstream runs at once, so that it turns nothing away.
*/
export function createRoomTask({self, upstreams, listHeard, alive, call, now, random}: RoomTaskOptions): RoomTask {
	const findIssuer = createIssuerFinder({self, listHeard, alive});
	/** By upstream and start. */
	const counters = new Map<string, ReturnType<typeof createRoomCounter>>();
	/** Grants that this host holds or asks for, by upstream and counting host. */
	const held = new Map<string, Set<number>>();
	/** Number of the next grant; those of an earlier run of this host are lower. */
	let nextGrant = Date.now();

	const findCounter = (key: string): ReturnType<typeof createRoomCounter> => {
		const known = counters.get(key);
		if (known) {
			return known;
		}

		if (counters.size >= maxCounters) {
			counters.delete(counters.keys().next().value!);
		}

		const counter = createRoomCounter(random, now());
		counters.set(key, counter);
		return counter;
	};

	const issue = ({host, statement: {id, startedAt}, grant, held: heldByHost, ungranted, isEnd}: RoomRequest): PermitResult => {
		const counter = findCounter(`${id}\n${startedAt}`);
		if (isEnd) {
			counter.release(host, grant, now());
			return {isGranted: true, retryAfterMs: 0};
		}

		const upstream = upstreams.get(id);
		const aliveNames = new Set([self.host, host, ...alive().map(peer => peer.host)]);
		counter.forgetGone(name => !aliveNames.has(name), now());
		const share = upstream ? findIssuer(upstream).share : 1;
		const slots = Math.max(1, Math.floor((upstream?.slots ?? 1) * share));
		return counter.take({
			host, grant, held: heldByHost, ungranted, slots, reported: upstreams.inFlight(id),
		}, now());
	};

	const ask = async (host: string, request: RoomRequest): Promise<PermitResult> => {
		const peer = alive().find(candidate => candidate.host === host);
		if (!peer) {
			return issue(request);
		}

		try {
			return await call(peer.peers, 'gateway.room', request, {timeoutMs: callTimeoutMs});
		} catch (error) {
			logFailure(error, {upstream: request.statement.id, issuer: host}, 'host that counts requests in flight does not respond');
			return {isGranted: false, retryAfterMs: unknownClosedMs};
		}
	};

	return {
		async acquire(id, requestId) {
			const upstream = upstreams.get(id);
			const announcements = upstreams.announcements(id);
			const turnedAwayPerS = announcements?.brittle.value();
			if (!upstream || turnedAwayPerS === undefined) {
				return free;
			}

			const {host} = findIssuer(upstream);
			const key = `${id}\n${upstream.startedAt}\n${host}`;
			const statement = announcements!.brittle.toReported(now())!;
			const grant = nextGrant++;
			const grants = held.get(key) ?? new Set<number>();
			const heldBefore = grants.size;
			grants.add(grant);
			held.set(key, grants);
			const giveBack = (): void => {
				grants.delete(grant);
				if (grants.size === 0) {
					held.delete(key);
				}
			};

			const {isGranted, retryAfterMs} = await ask(host, {
				host: self.host, statement, grant, held: [...grants], ungranted: Math.max(0, upstreams.ownInFlight(id) - heldBefore), isEnd: false,
			});
			const release = (): void => {
				giveBack();
				announcements!.reopen('brittle');
				void ask(host, {
					host: self.host, statement, grant, held: [], ungranted: 0, isEnd: true,
				});
			};

			if (!isGranted) {
				giveBack();
				announcements!.closeUntil('brittle', now() + retryAfterMs);
				log.info({
					requestId, upstream: id, turnedAwayPerS, retryAfterMs, issuer: host,
				}, 'brittle upstream has no free slot');
			}

			return {isGranted, release};
		},
		answer(request) {
			upstreams.recordReportedLimits(request.host, [request.statement], now());
			return issue(request);
		},
	};
}
