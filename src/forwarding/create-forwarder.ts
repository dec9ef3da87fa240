import {decideAdmission} from '../decide/forwarding/decide-admission.js';
import {chooseWeightedService} from '../decide/forwarding/choose-weighted-service.js';
import {createFinalRefusal} from '../decide/forwarding/create-final-refusal.js';
import {type FailureReason} from '../decide/forwarding/failure-reason.js';
import {decideRetry} from '../decide/forwarding/decide-retry.js';
import {type RetryDecision} from '../decide/forwarding/retry-decision.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {type SlidingWindowRetryBudget} from '../decide/retries/sliding-window-retry-budget.js';
import {log} from '../observe/log.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createSseEventSplitter} from './create-sse-event-splitter.js';
import {createSender} from './create-sender.js';
import {type PoisonRequestDetector} from './poison-request-detector.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type Placement} from './placement.js';
import {type Route} from './route.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type SendOutcome} from './send-outcome.js';
import {type UpstreamRegistry} from './upstream-registry.js';

const comeBackMs = 300;
const comeBackSpreadMs = 700;
/** An answer needs at least this long from the upstream to the caller. */
const leastLeftMs = 20;
/** An upstream that turned a request away gets no new ones for this long. */
const turnedAwayMs = 250;
/** An upstream that could not be reached gets no new requests for this long. */
const unreachedMs = 1500;
const brokenMs = 300;
/** A request that crashes upstreams is not taken again for longer than callers wait. */
const condemnedComeBackMs = 60_000;

/** What the forwarder needs. */
type ForwarderOptions = {
	readonly book: UpstreamRegistry;
	readonly crashes: Pick<PoisonRequestDetector, 'isCondemned' | 'checkForCrash' | 'recordSuccess'>;
	readonly budgetOf: (service: string) => SlidingWindowRetryBudget;
	readonly paceOf: (service: string) => ServiceLatencyModel;
	/** Least objective of the routes to a service that are more urgent than a route, in milliseconds. */
	readonly urgentObjectiveOf: (route: Route, service: string) => number | undefined;
	/** Chooses an upstream of a service and how the request is sent there. */
	readonly place: (call: AdmittedRequest, service: string, tried: ReadonlySet<string>) => Placement | undefined;
	readonly encode: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	readonly now: () => number;
	readonly random: () => number;
	readonly onEnd: (call: AdmittedRequest, result: string, tookMs: number) => void;
};

/** A place to send to, or the reason why there is none. */
type Found = {readonly placed: Placement} | {readonly reason: FailureReason; readonly retryAfterMs?: number};

function startTrack({route, endsAt}: AdmittedRequest, service: string): ForwardingProgress {
	return {
		service,
		triedUpstreams: new Set(),
		endsAt,
		splitter: route.kind === 'stream' && route.isResumable ? createSseEventSplitter() : undefined,
		sends: 0,
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

function noteRun(track: ForwardingProgress, outcome: SendOutcome): void {
	track.sends++;
	track.lastReason = describeOutcome(outcome);
	if (outcome.kind === 'failed-answer') {
		track.ran = 'yes';
	} else if (outcome.kind === 'broken' && track.ran === 'no') {
		track.ran = 'unknown';
	}

	if (outcome.kind === 'failed-answer' || outcome.kind === 'broken') {
		track.runs++;
	}
}

/** Creates the function that forwards a caller's request and sees to its final answer. */
export function createForwarder(options: ForwarderOptions): (call: AdmittedRequest) => Promise<void> {
	const {book, crashes, budgetOf, paceOf, urgentObjectiveOf, place, encode, now, random, onEnd} = options;
	const send = createSender({
		registry: book, latencyModelOf: paceOf, encode, now,
	});

	const close = (call: AdmittedRequest, track: ForwardingProgress, reason: FailureReason, retryAfterMs = comeBackMs + (random() * comeBackSpreadMs)): void => {
		const refusal = createFinalRefusal({
			reason, ran: track.ran, detail: track.lastReason, retryAfterMs,
		});
		const tookMs = now() - call.receivedAt;
		log.info({
			requestId: call.request.id!, route: call.route.name, service: track.service, kind: refusal.kind, ran: refusal.ran, sends: track.sends,
			detail: track.lastReason, retryAfterMs: Math.round(retryAfterMs), tookMs: Math.round(tookMs), begun: call.answer.isHeadSent(),
		}, 'refused');
		call.answer.refuse(refusal);
		onEnd(call, refusal.kind, tookMs);
	};

	const finish = (call: AdmittedRequest, track: ForwardingProgress, result: string): void => {
		const tookMs = now() - call.receivedAt;
		log.info({
			requestId: call.request.id!, route: call.route.name, service: track.service, result, sends: track.sends, tookMs: Math.round(tookMs),
		}, 'ended');
		onEnd(call, result, tookMs);
	};

	const leave = (call: AdmittedRequest, track: ForwardingProgress): void => {
		call.answer.abort();
		finish(call, track, 'caller-gone');
	};

	const noteUpstream = (outcome: SendOutcome, upstreamId: string, model: string | undefined): void => {
		if (outcome.kind === 'answered' || outcome.kind === 'failed-answer' || outcome.isGivenUp) {
			return;
		}

		if (outcome.kind === 'broken') {
			book.ejectUntil(upstreamId, now() + brokenMs);
		} else if (!outcome.head) {
			book.ejectUntil(upstreamId, now() + unreachedMs);
			book.recordConnectFailure(upstreamId);
		} else if (outcome.head.status === 421 && outcome.head.weightVersion !== undefined && model !== undefined) {
			book.recordWeights(upstreamId, model, outcome.head.weightVersion);
		} else {
			book.ejectUntil(upstreamId, now() + turnedAwayMs);
		}
	};

	const find = (call: AdmittedRequest, track: ForwardingProgress): Found => {
		const {route, receivedAt} = call;
		if (track.endsAt - now() < leastLeftMs) {
			return {reason: 'time-over'};
		}

		if (crashes.isCondemned(call)) {
			track.lastReason = 'this request crashed the upstreams that ran it';
			return {reason: 'no-upstream', retryAfterMs: condemnedComeBackMs};
		}

		const placed = place(call, track.service, track.triedUpstreams);
		if (!placed) {
			return {reason: 'no-upstream'};
		}

		const {firstByteMs, isQueueing} = placed;
		const admission = decideAdmission({
			firstByteMs, isQueueing, waitedMs: now() - receivedAt, objectiveMs: route.objectiveMs, urgentObjectiveMs: urgentObjectiveOf(route, track.service), draw: random(),
		});
		if (track.runs === 0 && !admission.isAdmitted) {
			track.lastReason = `first byte expected in ${Math.round(firstByteMs)} ms, too late for the objective of ${route.objectiveMs} ms`;
			return {reason: 'overloaded', retryAfterMs: admission.retryAfterMs};
		}

		if (track.sends > 0 && !budgetOf(track.service).tryWithdraw(now())) {
			track.lastReason = `${track.lastReason}; the retry budget is spent`;
			return {reason: 'upstream-failed'};
		}

		return {placed};
	};

	const decideNext = ({route, answer}: AdmittedRequest, track: ForwardingProgress, outcome: SendOutcome): RetryDecision => decideRetry(outcome, {
		kind: route.kind,
		isResumable: route.isResumable,
		maxAttempts: route.maxAttempts,
		runs: track.runs,
		sends: track.sends,
		hasBegun: answer.isHeadSent(),
		canResume: track.splitter?.canResume() ?? false,
	});

	const deliverFailure = ({answer}: AdmittedRequest, {head, body}: Extract<SendOutcome, {kind: 'failed-answer'}>): void => {
		answer.begin(head.status, head.headers);
		answer.write(body);
		answer.end();
	};

	/** @returns Whether the request has had its final answer. */
	const sendAndSettle = async (call: AdmittedRequest, track: ForwardingProgress, placed: Placement): Promise<boolean> => {
		const {request, route} = call;
		log.info({
			requestId: request.id!, route: route.name, service: track.service, upstream: placed.upstream.id, sends: track.sends, inFlight: placed.inFlight,
			missingTokens: placed.missingTokens, fetchedTokens: placed.fetchedTokens, isHome: placed.isHome, firstByteMs: Math.round(placed.firstByteMs), unseenMs: Math.round(placed.unseenMs),
			leftMs: Math.round(track.endsAt - now()),
		}, 'placed');
		const outcome = await send(call, track, placed);
		noteRun(track, outcome);
		if (outcome.kind === 'answered') {
			crashes.recordSuccess(call);
			finish(call, track, 'answered');
			return true;
		}

		if (outcome.kind === 'broken' && !outcome.isGivenUp && !call.answer.isHeadSent()) {
			crashes.checkForCrash(call, placed.upstream);
		}

		noteUpstream(outcome, placed.upstream.id, request.prompt?.model);
		track.triedUpstreams.add(placed.upstream.id);
		log.info({
			requestId: request.id!, upstream: placed.upstream.id, outcome: outcome.kind, detail: track.lastReason, runs: track.runs,
		}, 'send failed');
		if (call.signal.aborted) {
			leave(call, track);
			return true;
		}

		const next = decideNext(call, track, outcome);
		if (next === 'send-again') {
			track.splitter?.reset();
			return false;
		}

		if (next === 'deliver-failure' && outcome.kind === 'failed-answer') {
			deliverFailure(call, outcome);
			finish(call, track, `upstream-${outcome.head.status}`);
			return true;
		}

		close(call, track, track.endsAt - now() < leastLeftMs ? 'time-over' : 'upstream-failed');
		return true;
	};

	return async call => {
		const {route, signal} = call;
		const service = chooseWeightedService(route.targets, random());
		const track = startTrack(call, service ?? '');
		if (service === undefined) {
			close(call, track, 'no-upstream');
			return;
		}

		budgetOf(service).deposit(now());
		for (;;) {
			if (signal.aborted) {
				leave(call, track);
				return;
			}

			const found = find(call, track);
			if ('reason' in found) {
				close(call, track, found.reason, found.retryAfterMs);
				return;
			}

			if (await sendAndSettle(call, track, found.placed)) {
				return;
			}
		}
	};
}
