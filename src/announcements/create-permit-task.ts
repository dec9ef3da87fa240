import {type KnownHost} from '../reports/known-host.js';
import {type Upstream} from '../forwarding/upstream.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {createIssuerFinder} from './create-issuer-finder.js';
import {createPermitIssuer} from './create-permit-issuer.js';
import {type PermitRequest} from './permit-request.js';
import {type PermitResult} from './permit-result.js';
import {type PermitTask} from './permit-task.js';
import {type ReportedLimit} from './reported-limit.js';
import {type UpstreamAnnouncements} from './upstream-announcements.js';

const callTimeoutMs = 250;
/** An upstream whose issuer does not respond, or that has just started and knows no other host, is closed for this long. */
const unknownClosedMs = 500;
const msPerS = 1000;
/** Longest pause between control calls, also for an upstream that takes nothing. */
const maxControlPauseMs = 5000;

/** What the permits need of the upstream registry. */
type Upstreams = {
	readonly get: (id: string) => Upstream | undefined;
	readonly announcements: (id: string) => UpstreamAnnouncements | undefined;
	readonly recordReportedLimits: (source: string, limits: readonly ReportedLimit[], now: number) => void;
};

/** Dependencies of the permit task. */
type PermitTaskOptions = {
	/** Name and failure domain of this host. */
	readonly self: {readonly host: string; readonly domain: string};
	readonly upstreams: Upstreams;
	/** Returns the other hosts that have reported within the last minute. */
	readonly listHeard: () => readonly KnownHost[];
	/** Returns those with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Whether this host has run long enough to have heard the others. */
	readonly hasSettled: () => boolean;
	readonly call: PeerRpc;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

/**
Creates the permits for upstreams that state a limit on requests. For each such upstream one host issues the permits of all, and a host asks it
before it sends a request there.
*/
export function createPermitTask({self, upstreams, listHeard, alive, hasSettled, call, now, random}: PermitTaskOptions): PermitTask {
	const issuer = createPermitIssuer(now, random);

	const findIssuer = createIssuerFinder({self, listHeard, alive});

	const issue = ({host, limit, isCharge}: PermitRequest): PermitResult => {
		const {id, startedAt, perS} = limit;
		const upstream = upstreams.get(id);
		const known = upstream?.startedAt === startedAt ? upstreams.announcements(id) : undefined;
		const requestsPerS = known ? known.limit.value() : perS;
		if (requestsPerS === undefined) {
			return {isGranted: true, retryAfterMs: 0};
		}

		const rate = requestsPerS * (upstream ? findIssuer(upstream).share : 1);
		const key = `${id}\n${startedAt}`;
		if (isCharge) {
			issuer.charge(key, rate);
			return {isGranted: true, retryAfterMs: 0};
		}

		return issuer.take(key, host, rate);
	};

	const ask = async (upstream: Upstream, request: PermitRequest): Promise<PermitResult> => {
		const {host} = findIssuer(upstream);
		const peer = alive().find(candidate => candidate.host === host);
		if (!peer) {
			return hasSettled() || request.isCharge ? issue(request) : {isGranted: false, retryAfterMs: unknownClosedMs};
		}

		try {
			return await call(peer.peers, 'gateway.permit', request, {timeoutMs: callTimeoutMs});
		} catch (error) {
			logFailure(error, {upstream: upstream.id, issuer: host}, 'host that issues permits does not respond');
			return {isGranted: false, retryAfterMs: unknownClosedMs};
		}
	};

	return {
		async acquire(id, requestId) {
			const upstream = upstreams.get(id);
			const announcements = upstreams.announcements(id);
			const requestsPerS = announcements?.limit.value();
			if (!upstream || requestsPerS === undefined) {
				return true;
			}

			const {isGranted, retryAfterMs} = await ask(upstream, {host: self.host, limit: announcements!.limit.toReported(now())!, isCharge: false});
			if (!isGranted) {
				announcements!.closeUntil('limit', now() + retryAfterMs);
				log.info({
					requestId, upstream: id, requestsPerS, retryAfterMs,
				}, 'upstream is at its limit');
			}

			return isGranted;
		},
		charge(id) {
			const upstream = upstreams.get(id);
			const announcements = upstreams.announcements(id);
			const requestsPerS = announcements?.limit.value();
			if (!upstream || requestsPerS === undefined) {
				return 0;
			}

			void ask(upstream, {host: self.host, limit: announcements!.limit.toReported(now())!, isCharge: true});
			return Math.min(maxControlPauseMs, msPerS / requestsPerS);
		},
		answer(request) {
			upstreams.recordReportedLimits(request.host, [request.limit], now());
			return issue(request);
		},
	};
}
