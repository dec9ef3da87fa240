import {setImmediate} from 'node:timers/promises';
import {decideAdmission} from '../decide/forwarding/decide-admission.js';
import {chooseWeightedService} from '../decide/forwarding/choose-weighted-service.js';
import {createFinalRefusal} from '../decide/forwarding/create-final-refusal.js';
import {type FailureReason} from '../decide/forwarding/failure-reason.js';
import {decideRetry} from '../decide/forwarding/decide-retry.js';
import {type RetryDecision} from '../decide/forwarding/retry-decision.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {type SlidingWindowRetryBudget} from '../decide/retries/sliding-window-retry-budget.js';
import {log} from '../observe/log.js';
import {type RoomTask} from '../announcements/room-task.js';
import {type PoisonRequestDetector} from '../poison/poison-request-detector.js';
import {type RelayClient} from '../relay/relay-client.js';
import {type KnownHost} from '../reports/known-host.js';
import {type StreamVersions} from '../streams/stream-versions.js';
import {createSseEventSplitter} from '../streams/create-sse-event-splitter.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createSender} from './create-sender.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type Placement} from './placement.js';
import {type ReceivedResponse} from './received-response.js';
import {type Route} from './route.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type SendOutcome} from './send-outcome.js';
import {type UpstreamRegistry} from './upstream-registry.js';

/** Refused callers are told to retry after this time plus a random part of the spread, so that they don't all return at once. */
const minRetryAfterMs = 300;
const retryAfterSpreadMs = 700;
/** Added to the time after which an upstream's limit leaves room. */
const minReturnMs = 20;
/** With less time left, a request is not sent: the response could not reach the caller in time. */
const minTimeLeftMs = 20;
/** Ejection time of an upstream that rejected a request without running it. */
const rejectionEjectMs = 250;
/** Ejection time of an upstream whose response broke off or was invalid. */
const brokenResponseEjectMs = 300;
/** Other hosts that one request is handed on to, one after the other. */
const maxHelpers = 3;
/** Longest `Retry-After` of a refused request that crashes upstreams. */
const condemnedRetryAfterMs = 60_000;
const overloadedStatus = 429;
const refusalDetails = {
	request: 'this request crashed the upstreams that ran it',
	parts: 'parts of this prompt crashed the upstreams that ran them',
} as const;

/** Options of `createForwarder`. */
type ForwarderOptions = {
	readonly registry: UpstreamRegistry;
	readonly crashes: Pick<PoisonRequestDetector, 'findCause' | 'checkForCrash' | 'recordSuccess'>;
	readonly getRetryBudget: (service: string) => SlidingWindowRetryBudget;
	readonly getLatencyModel: (service: string) => ServiceLatencyModel;
	/** Returns the lowest latency objective, in milliseconds, of the routes to a service that are more urgent than `route`. */
	readonly getUrgentObjectiveMs: (route: Route, service: string) => number | undefined;
	/** Chooses an upstream of a service, and which KV cache the request fetches and saves there. */
	readonly place: (admitted: AdmittedRequest, progress: Pick<ForwardingProgress, 'service' | 'triedUpstreams' | 'softwareVersion'>) => Placement | undefined;
	/** Takes a slot of an upstream that states that it is brittle. */
	readonly acquireRoom: RoomTask['acquire'];
	/** Returns whether the link to an upstream works; checks it first if it has carried nothing for a while. */
	readonly verifyLink: (upstreamId: string) => Promise<boolean>;
	readonly relay: Pick<RelayClient, 'chooseHelper' | 'recordRefusal'>;
	/** Hands a request on to another host once. */
	readonly sendRelayed: (admitted: AdmittedRequest, progress: ForwardingProgress, helper: KnownHost) => Promise<SendOutcome>;
	/** The software versions that began streams. */
	readonly streams: Pick<StreamVersions, 'recordBegin' | 'findRequired'>;
	/** Returns whether an upstream's limit on requests leaves room for this one now. */
	readonly acquirePermit: (upstreamId: string, requestId: string) => Promise<boolean>;
	readonly encode: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	readonly now: () => number;
	readonly random: () => number;
	readonly onEnd: (admitted: AdmittedRequest, result: string, tookMs: number) => void;
};

/** The upstream to send to, the host to hand the request on to, or the reason why the request is not sent. */
type PlacementResult = {readonly placement: Placement; readonly releaseRoom: () => void} | {readonly helper: KnownHost} | {readonly reason: FailureReason; readonly retryAfterMs?: number | 'never'};

function releaseRoom(result: PlacementResult): void {
	if ('releaseRoom' in result) {
		result.releaseRoom();
	}
}

function createProgress({route, endsAt}: AdmittedRequest, service: string): ForwardingProgress {
	return {
		service,
		triedUpstreams: new Set(),
		triedHelpers: new Set(),
		endsAt,
		splitter: route.kind === 'stream' ? createSseEventSplitter(route.isResumable) : undefined,
		softwareVersion: undefined,
		isVersionUnknown: false,
		sends: 0,
		unsent: 0,
		isRetryPaid: false,
		runs: 0,
		ran: 'no',
		lastReason: 'no upstream takes requests of this route',
	};
}

function describeOutcome(outcome: SendOutcome): string {
	if (outcome.kind === 'failed-answer') {
		return `upstream answered ${outcome.head.status}`;
	}

	return outcome.kind === 'answered' ? 'answered' : outcome.reason;
}

function recordSend(progress: ForwardingProgress, outcome: SendOutcome): void {
	if (outcome.kind === 'not-run' && !outcome.head) {
		progress.unsent++;
	} else {
		progress.sends++;
		progress.isRetryPaid = false;
	}

	progress.lastReason = describeOutcome(outcome);
	if (outcome.kind === 'failed-answer') {
		progress.ran = 'yes';
	} else if (outcome.kind === 'broken' && progress.ran === 'no') {
		progress.ran = 'unknown';
	}

	if (outcome.kind === 'failed-answer' || outcome.kind === 'broken') {
		progress.runs++;
	}
}

/** Creates the function that forwards a caller's request, retries it where that is safe, and sends the final response. */
export function createForwarder(options: ForwarderOptions): (admitted: AdmittedRequest) => Promise<void> {
	const {registry, crashes, getRetryBudget, getLatencyModel, getUrgentObjectiveMs, place, acquirePermit, acquireRoom, verifyLink, relay, sendRelayed, streams, encode, now, random, onEnd} = options;
	const send = createSender({
		registry, getLatencyModel, encode, recordBegin: streams.recordBegin, now,
	});

	const refuseRequest = (
		admitted: AdmittedRequest,
		progress: ForwardingProgress,
		reason: FailureReason,
		retryAfterMs: number | 'never' = minRetryAfterMs + (random() * retryAfterSpreadMs),
	): void => {
		const refusal = createFinalRefusal({
			reason, ran: progress.ran, detail: progress.lastReason, retryAfterMs: retryAfterMs === 'never' ? undefined : retryAfterMs,
		});
		const tookMs = now() - admitted.receivedAt;
		log.info({
			requestId: admitted.request.id!, route: admitted.route.name, service: progress.service, kind: refusal.kind,
			ran: refusal.ran, sends: progress.sends,
			detail: progress.lastReason, retryAfterMs: retryAfterMs === 'never' ? undefined : Math.round(retryAfterMs), tookMs: Math.round(tookMs), begun: admitted.answer.isHeadSent(),
		}, 'refused');
		admitted.answer.refuse(refusal);
		onEnd(admitted, refusal.kind, tookMs);
	};

	const recordEnd = (admitted: AdmittedRequest, progress: ForwardingProgress, result: string, received?: ReceivedResponse): void => {
		const tookMs = now() - admitted.receivedAt;
		log.info({
			requestId: admitted.request.id!, route: admitted.route.name, service: progress.service, result,
			sends: progress.sends, tookMs: Math.round(tookMs), ...received,
		}, 'ended');
		onEnd(admitted, result, tookMs);
	};

	const abortResponse = (admitted: AdmittedRequest, progress: ForwardingProgress): void => {
		admitted.answer.abort();
		recordEnd(admitted, progress, 'caller-gone');
	};

	/** Records the weights that a rejecting upstream reported; after another failure, ejects the upstream. */
	const recordFailedAttempt = (outcome: SendOutcome, upstreamId: string, model: string | undefined): void => {
		if (outcome.kind === 'answered' || outcome.kind === 'failed-answer' || outcome.isGivenUp) {
			return;
		}

		if (outcome.kind === 'broken') {
			registry.ejectUntil(upstreamId, now() + brokenResponseEjectMs);
		} else if (outcome.head?.status === 421 && outcome.head.weightVersion !== undefined && model !== undefined) {
			registry.recordWeights(upstreamId, model, outcome.head.weightVersion);
		} else if (outcome.head) {
			registry.ejectUntil(upstreamId, now() + rejectionEjectMs);
		}
	};

	/**
	Finds the version at which a stream must go on that its caller takes up, or that another host began for this request.

	@returns Whether it may go on; not if the version matters and is not known.
	*/
	const requireVersion = async ({request, route, endsAt}: AdmittedRequest, progress: ForwardingProgress): Promise<boolean> => {
		const begunBy = progress.isVersionUnknown ? request.begunBy ?? request.id : request.begunBy;
		if (route.kind !== 'stream' || (request.resumeAfter === undefined && !progress.isVersionUnknown)) {
			return true;
		}

		const required = await streams.findRequired(progress.service, begunBy, request.id!, endsAt);
		if (required.kind === 'unknown') {
			progress.lastReason = 'the software version that began the stream is not known';
			return false;
		}

		progress.softwareVersion = required.kind === 'one' ? required.version : undefined;
		progress.isVersionUnknown = false;
		return true;
	};

	const findHelper = ({isRelayed}: AdmittedRequest, {service, triedHelpers}: ForwardingProgress): KnownHost | undefined =>
		isRelayed || triedHelpers.size >= maxHelpers ? undefined : relay.chooseHelper(service, triedHelpers);

	/** Returns where a request goes that no upstream may be sent from here now: to another host if upstreams can't be reached, or nowhere. */
	const leaveUnplaced = (admitted: AdmittedRequest, progress: ForwardingProgress): PlacementResult => {
		const {service, softwareVersion} = progress;
		const reach = registry.getReach(service, softwareVersion);
		const helper = reach.reachable < reach.upstreams ? findHelper(admitted, progress) : undefined;
		if (helper) {
			return {helper};
		}

		if (reach.upstreams > 0 && reach.reachable === 0) {
			progress.lastReason = `none of ${reach.upstreams} upstreams can be reached; ${progress.lastReason}`;
			return {reason: 'no-upstream'};
		}

		const closedForMs = registry.closedForMs(service, now(), softwareVersion);
		if (closedForMs === undefined && softwareVersion !== undefined) {
			progress.lastReason = `no upstream of version ${softwareVersion}, which began the stream`;
			return {reason: 'no-upstream', retryAfterMs: 'never'};
		}

		if (closedForMs === undefined) {
			return {reason: 'no-upstream'};
		}

		progress.lastReason = 'the upstreams are at the limits that they state, or have no free slot';
		return {reason: 'overloaded', retryAfterMs: closedForMs + minReturnMs + (random() * retryAfterSpreadMs)};
	};

	/** Chooses an upstream that may be sent the request; one whose limit leaves no room is closed meanwhile, and another one is chosen. */
	const findPlacement = async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<PlacementResult> => {
		const {route, receivedAt} = admitted;
		if (progress.endsAt - now() < minTimeLeftMs) {
			return {reason: 'time-over'};
		}

		const cause = crashes.findCause(admitted);
		if (cause) {
			progress.lastReason = refusalDetails[cause.kind];
			return {reason: 'no-upstream', retryAfterMs: Math.min(condemnedRetryAfterMs, cause.until - now())};
		}

		const placement = place(admitted, progress);
		if (!placement) {
			return leaveUnplaced(admitted, progress);
		}

		const {firstByteMs, isQueueing} = placement;
		const admission = decideAdmission({
			firstByteMs, isQueueing, waitedMs: now() - receivedAt, objectiveMs: route.objectiveMs,
			urgentObjectiveMs: getUrgentObjectiveMs(route, progress.service), draw: random(),
		});
		if (progress.runs === 0 && !admission.isAdmitted) {
			const reach = registry.getReach(progress.service, progress.softwareVersion);
			const helper = reach.reachable * 2 < reach.upstreams ? findHelper(admitted, progress) : undefined;
			if (helper) {
				return {helper};
			}

			progress.lastReason = `first byte expected in ${Math.round(firstByteMs)} ms, too late for the objective of ${route.objectiveMs} ms`;
			return {reason: 'overloaded', retryAfterMs: admission.retryAfterMs};
		}

		const room = await acquireRoom(placement.upstream.id, admitted.request.id!);
		if (!room.isGranted) {
			return findPlacement(admitted, progress);
		}

		if (!await acquirePermit(placement.upstream.id, admitted.request.id!)) {
			room.release();
			return findPlacement(admitted, progress);
		}

		return {placement, releaseRoom: room.release};
	};

	/** Finds where a request goes next. Sending it again takes from the retry budget. */
	const findNext = async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<PlacementResult> => {
		const result = await findPlacement(admitted, progress);
		if ('reason' in result || progress.sends === 0 || progress.isRetryPaid) {
			return result;
		}

		if (!getRetryBudget(progress.service).tryWithdraw(now())) {
			releaseRoom(result);
			progress.lastReason = `${progress.lastReason}; the retry budget is spent`;
			return {reason: 'upstream-failed'};
		}

		progress.isRetryPaid = true;
		return result;
	};

	const decideNext = ({route, answer}: AdmittedRequest, progress: ForwardingProgress, outcome: SendOutcome): RetryDecision => decideRetry(outcome, {
		kind: route.kind,
		isResumable: route.isResumable,
		maxAttempts: route.maxAttempts,
		runs: progress.runs,
		sends: progress.sends,
		unsent: progress.unsent,
		hasBegun: answer.isHeadSent(),
		canResume: progress.splitter?.canResume() ?? false,
	});

	const deliverFailure = ({answer}: AdmittedRequest, {head, body}: Extract<SendOutcome, {kind: 'failed-answer'}>): void => {
		answer.begin(head.status, head.headers);
		answer.write(body);
		answer.end();
	};

	/** Follows a send without a final response. @returns Whether the final response has been sent now; if not, the request is to be sent again. */
	const settleFailure = (admitted: AdmittedRequest, progress: ForwardingProgress, outcome: SendOutcome): boolean => {
		if (admitted.signal.aborted) {
			abortResponse(admitted, progress);
			return true;
		}

		const decision = decideNext(admitted, progress, outcome);
		if (decision === 'send-again') {
			progress.splitter?.reset();
			return false;
		}

		if (decision === 'deliver-failure' && outcome.kind === 'failed-answer') {
			deliverFailure(admitted, outcome);
			recordEnd(admitted, progress, `upstream-${outcome.head.status}`);
			return true;
		}

		refuseRequest(admitted, progress, progress.endsAt - now() < minTimeLeftMs ? 'time-over' : 'upstream-failed');
		return true;
	};

	/** @returns Whether the final response has been sent; if not, the request is to be sent again. */
	const attemptRelay = async (admitted: AdmittedRequest, progress: ForwardingProgress, helper: KnownHost): Promise<boolean> => {
		const outcome = await sendRelayed(admitted, progress, helper);
		recordSend(progress, outcome);
		progress.triedHelpers.add(helper.host);
		if (outcome.kind === 'answered') {
			recordEnd(admitted, progress, 'answered', outcome.received);
			return true;
		}

		progress.isVersionUnknown = progress.softwareVersion === undefined && progress.splitter?.lastEventId() !== undefined;
		const status = 'head' in outcome ? outcome.head?.status : undefined;
		log.info({
			requestId: admitted.request.id!, helper: helper.host, outcome: outcome.kind, status, detail: progress.lastReason, begun: admitted.answer.isHeadSent(),
		}, 'send failed');
		if (outcome.kind === 'not-run' && status === overloadedStatus) {
			refuseRequest(admitted, progress, 'overloaded', outcome.head?.retryAfterMs);
			return true;
		}

		if (outcome.kind === 'not-run' && !outcome.isGivenUp) {
			relay.recordRefusal(helper.host);
		}

		return settleFailure(admitted, progress, outcome);
	};

	/** @returns Whether the final response has been sent; if not, the request is to be sent again. */
	const attemptSend = async (admitted: AdmittedRequest, progress: ForwardingProgress, placement: Placement): Promise<boolean> => {
		const {request, route} = admitted;
		if (route.kind === 'once' && !await verifyLink(placement.upstream.id)) {
			return false;
		}

		log.info({
			requestId: request.id!, route: route.name, service: progress.service, upstream: placement.upstream.id, softwareVersion: placement.upstream.softwareVersion,
			resumeAfter: progress.splitter?.lastEventId() ?? request.resumeAfter, begunBy: request.begunBy,
			sends: progress.sends, inFlight: placement.inFlight,
			missingTokens: placement.missingTokens, fetchedTokens: placement.fetchedTokens, isHome: placement.isHome,
			firstByteMs: Math.round(placement.firstByteMs), unseenMs: Math.round(placement.unseenMs),
			leftMs: Math.round(progress.endsAt - now()),
		}, 'placed');
		const sentAt = now();
		const outcome = await send(admitted, progress, placement);
		recordSend(progress, outcome);
		if (outcome.kind === 'answered') {
			crashes.recordSuccess(admitted);
			recordEnd(admitted, progress, 'answered', outcome.received);
			return true;
		}

		if (outcome.kind === 'broken') {
			crashes.checkForCrash(admitted, placement.upstream, sentAt, outcome.isGivenUp);
		}

		recordFailedAttempt(outcome, placement.upstream.id, request.prompt?.model);
		progress.triedUpstreams.add(placement.upstream.id);
		log.info({
			requestId: request.id!, upstream: placement.upstream.id, outcome: outcome.kind, detail: progress.lastReason, runs: progress.runs,
			isGivenUp: outcome.kind !== 'failed-answer' && outcome.isGivenUp, begun: admitted.answer.isHeadSent(),
			...(outcome.kind === 'broken' ? outcome.received : undefined),
		}, 'send failed');
		return settleFailure(admitted, progress, outcome);
	};

	return async admitted => {
		const {route, signal} = admitted;
		const service = chooseWeightedService(route.targets, random());
		const progress = createProgress(admitted, service ?? '');
		if (service === undefined) {
			refuseRequest(admitted, progress, 'no-upstream');
			return;
		}

		if (!admitted.isRelayed) {
			getRetryBudget(service).deposit(now());
		}

		for (let isFirst = true; ; isFirst = false) {
			if (!isFirst) {
				// Where several connections have broken at once, all of them are known to be after this.
				await setImmediate();
			}

			if (signal.aborted) {
				abortResponse(admitted, progress);
				return;
			}

			if ((isFirst || progress.isVersionUnknown) && !await requireVersion(admitted, progress)) {
				refuseRequest(admitted, progress, 'no-upstream', 'never');
				return;
			}

			const result = await findNext(admitted, progress);
			if ('reason' in result) {
				refuseRequest(admitted, progress, result.reason, result.retryAfterMs);
				return;
			}

			if (signal.aborted) {
				// The caller disconnected while this host asked for a permit.
				releaseRoom(result);
				continue;
			}

			try {
				const hasEnded = 'helper' in result
					? await attemptRelay(admitted, progress, result.helper)
					: await attemptSend(admitted, progress, result.placement);
				if (hasEnded) {
					return;
				}
			} finally {
				releaseRoom(result);
			}
		}
	};
}
