import {setImmediate} from 'node:timers/promises';
import {chooseWeightedService} from '../decide/forwarding/choose-weighted-service.js';
import {decideRetry} from '../decide/forwarding/decide-retry.js';
import {mayRepeat} from '../decide/forwarding/may-repeat.js';
import {type RetryDecision} from '../decide/forwarding/retry-decision.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {type Evacuations} from '../evacuations/evacuations.js';
import {log} from '../observe/log.js';
import {type PoisonRequestDetector} from '../poison/poison-request-detector.js';
import {type RelayClient} from '../relay/relay-client.js';
import {type KnownHost} from '../reports/known-host.js';
import {type RequiredVersion} from '../streams/required-version.js';
import {type StreamVersions} from '../streams/stream-versions.js';
import {type StartVerifier} from '../registry/start-verifier.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type ByteBudget} from '../util/byte-budget.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createForwardingProgress} from './create-forwarding-progress.js';
import {createPlacementFinder} from './create-placement-finder.js';
import {createRequestReporter} from './create-request-reporter.js';
import {createSender} from './create-sender.js';
import {describeAttempts} from './describe-attempts.js';
import {describeClaim} from './describe-claim.js';
import {describeWeights} from './describe-weights.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {minTimeLeftMs} from './min-time-left-ms.js';
import {type PlacementFinderOptions} from './placement-finder-options.js';
import {type Placement} from './placement.js';
import {recordSend} from './record-send.js';
import {releaseRoom} from './release-room.js';
import {type SendOutcome} from './send-outcome.js';
import {stoppingRetryAfterMs} from './stopping-retry-after-ms.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';

/** Ejection time of an upstream that rejected a request without running it. */
const rejectionEjectMs = 250;
/** Ejection time of an upstream whose response broke off or was invalid. */
const brokenResponseEjectMs = 300;
const overloadedStatus = 429;

/** Options of `createForwarder`. */
type ForwarderOptions = PlacementFinderOptions & {
	readonly registry: UpstreamRegistry;
	readonly evacuations: Pick<Evacuations, 'findRefusal' | 'maySend'>;
	readonly crashes: Pick<PoisonRequestDetector, 'checkForCrash' | 'recordSuccess'>;
	readonly getLatencyModel: (service: string) => ServiceLatencyModel;
	/** Returns whether the link to an upstream works; checks it first if it has carried nothing for a while. */
	readonly verifyLink: (upstreamId: string) => Promise<boolean>;
	readonly verifyStart: StartVerifier;
	readonly relay: Pick<RelayClient, 'recordRefusal'>;
	/** Hands a request on to another host once. */
	readonly sendRelayed: (admitted: AdmittedRequest, progress: ForwardingProgress, helper: KnownHost) => Promise<SendOutcome>;
	/** The software versions that began streams. */
	readonly streams: Pick<StreamVersions, 'recordBegin' | 'findRequired' | 'findBeginVersion' | 'toListed'>;
	readonly encode: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	/** What the host keeps of responses, all together. */
	readonly keptBytes: ByteBudget;
	readonly onEnd: (admitted: AdmittedRequest, result: string, tookMs: number) => void;
};

/** Creates the function that forwards a caller's request, retries it where that is safe, and sends the final response. */
export function createForwarder(options: ForwarderOptions): (admitted: AdmittedRequest) => Promise<void> {
	const {registry, evacuations, crashes, getRetryBudget, getLatencyModel, verifyLink, verifyStart, relay, sendRelayed, streams, encode, keptBytes, now, random, onEnd} = options;
	const reporter = createRequestReporter({now, random, onEnd});
	const findNext = createPlacementFinder(options);
	const send = createSender({
		registry, getLatencyModel, encode, recordBegin: streams.recordBegin, keptBytes, now,
	});

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

	@returns What keeps it from going on, if the version matters and is not known.
	*/
	const requireVersion = async ({request, route, endsAt}: AdmittedRequest, progress: ForwardingProgress): Promise<Extract<RequiredVersion, {kind: 'unknown'}> | undefined> => {
		const begunBy = progress.isVersionUnknown ? request.begunBy ?? request.id : request.begunBy;
		if (route.kind !== 'stream' || (request.resumeAfter === undefined && !progress.isVersionUnknown)) {
			return undefined;
		}

		const required = await streams.findRequired({
			service: progress.service, begunBy, requestId: request.id!, route: route.name, waitMs: Math.max(route.timeoutMs, request.deadlineMs ?? 0), endsAt,
		});
		if (required.kind === 'unknown') {
			progress.lastReason = 'the software version that began the stream is not known';
			return required;
		}

		progress.begunVersion = required.version;
		progress.isVersionUnknown = false;
		return undefined;
	};

	/** Finds the version that the next upstream must have. */
	const findNeededVersion = async ({request, route}: AdmittedRequest, {service, begunVersion}: ForwardingProgress): Promise<string | undefined> => {
		const begins = route.kind === 'stream' && request.resumeAfter === undefined && begunVersion === undefined;
		return begins ? streams.findBeginVersion(service, request.id!) : begunVersion;
	};

	const decideNext = ({route, answer}: AdmittedRequest, progress: ForwardingProgress, outcome: SendOutcome): RetryDecision => decideRetry(outcome, {
		kind: route.kind,
		isResumable: route.isResumable,
		spent: progress.attempts.spent(),
		limits: progress.attempts.limits,
		hasBegun: answer.isHeadSent(),
		canResume: progress.splitter?.canResume() ?? false,
	});

	/** Follows a send without a final response. @returns Whether the final response has been sent now; if not, the request is to be sent again. */
	const settleFailure = (admitted: AdmittedRequest, progress: ForwardingProgress, outcome: SendOutcome): boolean => {
		if (admitted.signal.aborted) {
			reporter.abort(admitted, progress);
			return true;
		}

		const decision = decideNext(admitted, progress, outcome);
		if (decision === 'send-again') {
			progress.splitter?.reset();
			return false;
		}

		if (decision === 'deliver-failure' && outcome.kind === 'failed-answer') {
			reporter.deliverFailure(admitted, progress, outcome);
			return true;
		}

		reporter.refuse(admitted, progress, progress.endsAt - now() < minTimeLeftMs ? 'time-over' : 'upstream-failed');
		return true;
	};

	/** @returns Whether the final response has been sent; if not, the request is to be sent again. */
	const attemptRelay = async (admitted: AdmittedRequest, progress: ForwardingProgress, helper: KnownHost): Promise<boolean> => {
		const {sends} = progress.attempts.spent();
		const outcome = await sendRelayed(admitted, progress, helper);
		recordSend(progress, outcome);
		const isIdle = outcome.kind === 'not-run' && progress.attempts.spent().sends === sends;
		(isIdle ? progress.idleHelpers : progress.usedHelpers).add(helper.host);
		if (outcome.kind === 'answered') {
			reporter.recordEnd(admitted, progress, 'answered', outcome.received);
			return true;
		}

		progress.isVersionUnknown = progress.begunVersion === undefined && progress.splitter?.lastEventId() !== undefined;
		const status = 'head' in outcome ? outcome.head?.status : undefined;
		log.info({
			requestId: admitted.request.id!, helper: helper.host, outcome: outcome.kind, status, detail: progress.lastReason, begun: admitted.answer.isHeadSent(),
			...describeAttempts(progress),
		}, 'send failed');
		if (outcome.kind === 'not-run' && status === overloadedStatus) {
			reporter.refuse(admitted, progress, 'overloaded', outcome.head?.retryAfterMs);
			return true;
		}

		if (isIdle && !outcome.isGivenUp) {
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

		if (route.kind === 'stream' && !await verifyStart(placement.upstream, progress.begunVersion !== undefined)) {
			return false;
		}

		// The request may have waited for a permit, a slot or a check of the upstream since it was placed.
		if (!evacuations.maySend(request.id!, progress.service, placement)) {
			return false;
		}

		log.info({
			requestId: request.id!, route: route.name, service: progress.service, upstream: placement.upstream.id, softwareVersion: placement.upstream.softwareVersion,
			resumeAfter: progress.splitter?.lastEventId() ?? request.resumeAfter, begunBy: request.begunBy,
			...describeAttempts(progress), maxAttempts: route.maxAttempts, isRelayed: admitted.isRelayed, inFlight: placement.inFlight, inFlightLimit: placement.inFlightLimit,
			missingTokens: placement.missingTokens, fetchedTokens: placement.fetchedTokens, isHome: placement.isHome,
			firstByteMs: Math.round(placement.firstByteMs), unseenMs: Math.round(placement.unseenMs),
			...describeWeights(placement), ...describeClaim(placement),
			leftMs: Math.round(progress.endsAt - now()),
		}, 'placed');
		const sentAt = now();
		progress.attempts.begin(placement.upstream.id);
		const outcome = await send(admitted, progress, placement);
		progress.attempts.settle(outcome);
		recordSend(progress, outcome);
		if (outcome.kind === 'answered') {
			crashes.recordSuccess(admitted);
			reporter.recordEnd(admitted, progress, 'answered', outcome.received);
			return true;
		}

		if (outcome.kind === 'broken') {
			crashes.checkForCrash(admitted, placement.upstream, sentAt, outcome.isGivenUp);
		}

		recordFailedAttempt(outcome, placement.upstream.id, request.prompt?.model);
		progress.triedUpstreams.add(placement.upstream.id);
		log.info({
			requestId: request.id!, upstream: placement.upstream.id, outcome: outcome.kind, detail: progress.lastReason, ...describeAttempts(progress),
			isGivenUp: outcome.kind !== 'failed-answer' && outcome.isGivenUp, begun: admitted.answer.isHeadSent(),
			...(outcome.kind === 'broken' ? outcome.received : undefined),
		}, 'send failed');
		return settleFailure(admitted, progress, outcome);
	};

	/** Whether the request may still be sent here: a planned stop would cut it, and one that may not be repeated has to end before. */
	const maySend = ({route, endsAt, stop}: AdmittedRequest): boolean => !stop.signal.aborted && (mayRepeat(route) || stop.allows(endsAt));

	return async admitted => {
		const {route, signal} = admitted;
		const service = chooseWeightedService(route.targets, random());
		const progress = createForwardingProgress(admitted, service ?? '');
		if (service === undefined) {
			reporter.refuse(admitted, progress, 'no-upstream');
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
				reporter.abort(admitted, progress);
				return;
			}

			const unknown = isFirst || progress.isVersionUnknown ? await requireVersion(admitted, progress) : undefined;
			if (unknown) {
				reporter.refuse(admitted, progress, 'no-upstream', unknown.retryAfterMs ?? 'never');
				return;
			}

			progress.begunVersion = streams.toListed(progress.service, progress.begunVersion);
			progress.softwareVersion = await findNeededVersion(admitted, progress);
			const result = await findNext(admitted, progress);
			if (!maySend(admitted)) {
				progress.lastReason = 'this host stops';
				releaseRoom(result);
				reporter.refuse(admitted, progress, 'time-over', stoppingRetryAfterMs);
				return;
			}

			if ('reason' in result) {
				reporter.refuse(admitted, progress, result.reason, result.retryAfterMs);
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
