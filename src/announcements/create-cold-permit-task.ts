import {createIssuerElection} from '../decide/cold/create-issuer-election.js';
import {getColdRate} from '../decide/cold/get-cold-rate.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type ColdGate} from '../registry/cold-gate.js';
import {type KnownHost} from '../reports/known-host.js';
import {every} from '../util/every.js';
import {type ColdPermitRequest} from './cold-permit-request.js';
import {type ColdPermitTask} from './cold-permit-task.js';
import {createPermitIssuer} from './create-permit-issuer.js';
import {type PermitResult} from './permit-result.js';
import {type PermitTask} from './permit-task.js';
import {type UpstreamAnnouncements} from './upstream-announcements.js';

/** Shorter than the time for which a permit holds. */
const callTimeoutMs = 140;
/** An upstream without an issuer, or whose issuer does not respond, is closed for this long. */
const unknownClosedMs = 500;
/** Requests of this host that may wait for a permit of one upstream at a time; others are placed elsewhere at once. */
const maxPending = 2;
const pendingClosedMs = 20;
const observeIntervalMs = 200;
const msPerS = 1000;
/** Longest pause between control calls. */
const maxControlPauseMs = 5000;

/** What the permits need of the upstream registry. */
type Upstreams = {
	readonly coldGate: (id: string) => ColdGate | undefined;
	readonly announcements: (id: string) => Pick<UpstreamAnnouncements, 'limit'> | undefined;
};

/** Dependencies of the task. */
type ColdPermitTaskOptions = {
	/** Name of this host. */
	readonly self: string;
	readonly upstreams: Upstreams;
	/** The permits of upstreams that are not cold. */
	readonly permits: PermitTask;
	/** Returns the other hosts that are registered or have reported. */
	readonly listOthers: () => readonly KnownHost[];
	/** Returns those with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Limits on the requests that may reach a cold upstream in one second. */
	readonly bounds: () => {readonly overshoot: number; readonly slack: number};
	readonly call: PeerRpc;
	/** Called with the result of each request of this host for a permit. */
	readonly onResult: (result: 'granted' | 'denied' | 'unanswered') => void;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	/** Clock in milliseconds that also advances while the machine is suspended. */
	readonly suspendAwareNow: () => number;
	readonly random: () => number;
};

/**
A host outside a majority tries a cold upstream so long after it was first kept from it, so that it is not left for good: these times for each
host that it knows. All hosts, each alone, try it three times a second together.
*/
const minTrialAfterMs = 166;
const trialSpreadMs = 333;
/** A trial that was due longer ago belongs to an earlier time. */
const maxTrialDelayMs = 2000;

const noIssuer: PermitResult = {isGranted: false, retryAfterMs: unknownClosedMs};

/**
Creates the permits for cold upstreams, beside those for limits that upstreams state. For each cold upstream one host of the majority issues the
permits of all; a host outside a majority sends nothing there. While an upstream is cold, the lower of its stated limit and what the service's cold
upstreams tolerate holds.
*/
export function createColdPermitTask({
	self, upstreams, permits, listOthers, alive, bounds, call, onResult, now, suspendAwareNow, random,
}: ColdPermitTaskOptions): ColdPermitTask {
	const election = createIssuerElection(self);
	const issuer = createPermitIssuer(now, random, getColdRate(1, bounds()).burst);
	/** Requests for permits under way, by upstream. */
	const pending = new Map<string, number>();

	/** When this host tries upstreams while it is outside a majority. */
	const trials = new Map<string, number>();

	const observe = (): void => {
		const aliveNames = new Set(alive().map(({host}) => host));
		election.observe(listOthers().map(({host}) => ({host, isAlive: aliveNames.has(host)})), suspendAwareNow());
	};

	const findLimit = (id: string): number | undefined => {
		const perS = upstreams.coldGate(id)?.perS(now());
		return perS === undefined ? undefined : Math.min(perS, upstreams.announcements(id)?.limit.value() ?? perS);
	};

	const issue = ({host, id, perS, isCharge}: ColdPermitRequest): PermitResult => {
		// The more careful of what both hosts know holds.
		const rate = getColdRate(Math.min(perS, findLimit(id) ?? perS), bounds()).perS;
		if (isCharge) {
			issuer.charge(id, rate);
			return {isGranted: true, retryAfterMs: 0};
		}

		return election.mayIssue(id, suspendAwareNow()) ? issuer.take(id, host, rate) : noIssuer;
	};

	const tryWithoutIssuer = (id: string): PermitResult => {
		const dueAt = trials.get(id);
		const at = now();
		if (dueAt !== undefined && at < dueAt) {
			return noIssuer;
		}

		trials.set(id, at + ((listOthers().length + 1) * (minTrialAfterMs + (random() * trialSpreadMs))));
		return dueAt !== undefined && at <= dueAt + maxTrialDelayMs ? {isGranted: true, retryAfterMs: 0} : noIssuer;
	};

	/** Returns `undefined` if the issuer does not respond. */
	const ask = async (request: ColdPermitRequest): Promise<PermitResult | undefined> => {
		const host = election.findIssuer(request.id);
		if (host === undefined) {
			return request.isCharge ? noIssuer : tryWithoutIssuer(request.id);
		}

		trials.clear();
		if (host === self) {
			return issue(request);
		}

		const peer = alive().find(candidate => candidate.host === host);
		if (!peer) {
			return noIssuer;
		}

		try {
			return await call(peer.peers, 'gateway.coldPermit', request, {timeoutMs: callTimeoutMs});
		} catch (error) {
			logFailure(error, {upstream: request.id, issuer: host}, 'host that issues permits for a cold upstream does not respond');
			return undefined;
		}
	};

	/** Asks for a permit; closes the upstream to this host if there is none. */
	const acquireCold = async (id: string, gate: ColdGate, perS: number, requestId: string | undefined): Promise<boolean> => {
		const waiting = pending.get(id) ?? 0;
		if (waiting >= maxPending) {
			gate.closeUntil(now() + pendingClosedMs);
			return false;
		}

		pending.set(id, waiting + 1);
		const result = await ask({
			host: self, id, perS, isCharge: false,
		}).finally(() => {
			const others = pending.get(id)! - 1;
			if (others > 0) {
				pending.set(id, others);
			} else {
				pending.delete(id);
			}
		});
		const {isGranted, retryAfterMs} = result ?? noIssuer;
		onResult(result ? (isGranted ? 'granted' : 'denied') : 'unanswered');
		if (!isGranted) {
			gate.closeUntil(now() + retryAfterMs);
			log.info({
				requestId, upstream: id, coldPerS: perS, coldForMs: Math.round(gate.forMs(now())), issuer: election.findIssuer(id), retryAfterMs,
			}, 'cold upstream takes no request now');
		}

		return isGranted;
	};

	const stopObserving = every(observeIntervalMs, 'views of who issues permits', observe);
	observe();

	return {
		...permits,
		async acquire(id, requestId) {
			const gate = upstreams.coldGate(id);
			const perS = findLimit(id);
			if (!gate || perS === undefined) {
				return permits.acquire(id, requestId);
			}

			const askedAt = now();
			const isGranted = await acquireCold(id, gate, perS, requestId);
			if (isGranted) {
				gate.grant(askedAt);
			}

			return isGranted;
		},
		charge(id) {
			const perS = findLimit(id);
			if (perS === undefined) {
				return permits.charge(id);
			}

			void ask({
				host: self, id, perS, isCharge: true,
			});
			return Math.min(maxControlPauseMs, msPerS / getColdRate(perS, bounds()).perS);
		},
		async acquireProbe(id) {
			const gate = upstreams.coldGate(id);
			const perS = findLimit(id);
			return !gate || perS === undefined || (gate.closedForMs(now()) === 0 && acquireCold(id, gate, perS, undefined));
		},
		chargeProbe: id => findLimit(id) === undefined ? permits.charge(id) : 0,
		answerCold: issue,
		stop() {
			stopObserving();
		},
	};
}
