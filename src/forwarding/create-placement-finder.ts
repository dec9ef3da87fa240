import {decideAdmission} from '../decide/forwarding/decide-admission.js';
import {type KnownHost} from '../reports/known-host.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {minTimeLeftMs} from './min-time-left-ms.js';
import {type PlacementFinderOptions} from './placement-finder-options.js';
import {type PlacementResult} from './placement-result.js';
import {releaseRoom} from './release-room.js';
import {retryAfterSpread} from './retry-after-spread.js';

/** Added to the time after which an upstream's limit leaves room. */
const minReturnMs = 20;
/** Other hosts that are asked in vain for one request. */
const maxIdleHelpers = 3;
/** Longest `Retry-After` of a refused request that crashes upstreams. */
const condemnedRetryAfterMs = 60_000;
const refusalDetails = {
	request: 'this request crashed the upstreams that ran it',
	parts: 'parts of this prompt crashed the upstreams that ran them',
} as const;

/** Creates the function that finds where a request goes next: to an upstream, to another host, or nowhere. */
export function createPlacementFinder({
	registry, evacuations, crashes, getRetryBudget, getUrgentObjectiveMs, place, claimPlace, acquirePermit, acquireRoom, confirmCutOff, relay, now, random,
}: PlacementFinderOptions): (admitted: AdmittedRequest, progress: ForwardingProgress) => Promise<PlacementResult> {
	const findHelper = ({isRelayed}: AdmittedRequest, {service, idleHelpers, usedHelpers, attempts}: ForwardingProgress): KnownHost | undefined =>
		isRelayed || idleHelpers.size >= maxIdleHelpers
			? undefined
			: relay.chooseHelper(service, {excluded: idleHelpers, avoided: usedHelpers, hasRun: attempts.spent().runs > 0});

	/** Returns where a request goes that no upstream may be sent from here now: to another host if upstreams can't be reached, or nowhere. */
	const leaveUnplaced = async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<PlacementResult> => {
		const {service, softwareVersion} = progress;
		const reach = registry.getReach(service, softwareVersion);
		const helper = reach.reachable < reach.upstreams ? findHelper(admitted, progress) : undefined;
		if (helper) {
			return {helper};
		}

		if (reach.upstreams > 0 && reach.reachable === 0) {
			await confirmCutOff();
			if (registry.getReach(service, softwareVersion).reachable > 0) {
				return findPlacement(admitted, progress);
			}

			progress.lastReason = `none of ${reach.upstreams} upstreams can be reached; ${progress.lastReason}`;
			return {reason: 'no-upstream'};
		}

		const closedForMs = registry.closedForMs(service, now(), softwareVersion);
		const evacuated = closedForMs === undefined && reach.upstreams === 0 ? evacuations.findRefusal(service, softwareVersion) : undefined;
		if (evacuated) {
			progress.lastReason = evacuated.detail;
			return {reason: 'no-upstream', retryAfterMs: evacuated.retryAfterMs};
		}

		if (closedForMs === undefined && softwareVersion !== undefined && registry.getReach(service).upstreams > 0) {
			const hasBegun = progress.begunVersion !== undefined;
			progress.lastReason = `no upstream of version ${softwareVersion}, ${hasBegun ? 'which began the stream' : 'the only one at which streams may begin here now'}`;
			return hasBegun ? {reason: 'no-upstream', retryAfterMs: 'never'} : {reason: 'no-upstream'};
		}

		if (closedForMs === undefined) {
			return {reason: 'no-upstream'};
		}

		progress.lastReason = 'the upstreams are at the limits that they state, or have no free slot';
		return {reason: 'overloaded', retryAfterMs: closedForMs + minReturnMs + (random() * retryAfterSpread.spreadMs)};
	};

	/** Chooses an upstream that may be sent the request; one whose limit leaves no room is closed meanwhile, and another one is chosen. */
	const findPlacement = async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<PlacementResult> => {
		const {request, route, receivedAt} = admitted;
		if (progress.endsAt - now() < minTimeLeftMs) {
			return {reason: 'time-over'};
		}

		const {placement, endClaim} = claimPlace ? await claimPlace(admitted, progress) : {placement: place(admitted, progress), endClaim: () => undefined};
		if (!placement) {
			return leaveUnplaced(admitted, progress);
		}

		const {firstByteMs, isQueueing} = placement;
		// A stream that is taken up has had its first byte: it only has to end in time.
		const isTakenUp = request.resumeAfter !== undefined;
		const admission = decideAdmission({
			firstByteMs, isQueueing, waitedMs: now() - receivedAt, objectiveMs: isTakenUp ? progress.endsAt - receivedAt : route.objectiveMs,
			urgentObjectiveMs: isTakenUp ? undefined : getUrgentObjectiveMs(route, progress.service), draw: random(),
		});
		if (progress.attempts.spent().runs === 0 && !admission.isAdmitted) {
			endClaim();
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
			endClaim();
			return findPlacement(admitted, progress);
		}

		if (!await acquirePermit(placement.upstream.id, admitted.request.id!)) {
			room.release();
			endClaim();
			return findPlacement(admitted, progress);
		}

		return {
			placement,
			releaseRoom() {
				room.release();
				endClaim();
			},
		};
	};

	/** Refuses requests that crash upstreams. Sending a request again takes from the retry budget. */
	return async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<PlacementResult> => {
		const isInTime = progress.endsAt - now() >= minTimeLeftMs;
		const cause = isInTime ? crashes.findCause(admitted) : undefined;
		if (cause) {
			progress.lastReason = refusalDetails[cause.kind];
			return {reason: 'no-upstream', retryAfterMs: Math.min(condemnedRetryAfterMs, cause.until - now())};
		}

		const result = await findPlacement(admitted, progress);
		const {sends} = progress.attempts.spent();
		if ('reason' in result || sends <= progress.paidSends) {
			return result;
		}

		if (!getRetryBudget(progress.service).tryWithdraw(now())) {
			releaseRoom(result);
			progress.lastReason = `${progress.lastReason}; the retry budget is spent`;
			return {reason: 'upstream-failed'};
		}

		progress.paidSends = sends;
		return result;
	};
}
