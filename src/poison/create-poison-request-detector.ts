import {type CondemnedParts} from '../decide/poison/condemned-parts.js';
import {createCompletedParts} from '../decide/poison/create-completed-parts.js';
import {createCrashCauseTracker} from '../decide/poison/create-crash-cause-tracker.js';
import {limitReportedParts} from '../decide/poison/limit-reported-parts.js';
import {type CrashedRequest} from '../decide/poison/crashed-request.js';
import {poisonLimits} from '../decide/poison/poison-limits.js';
import {getCrashKey} from '../decide/poison/get-crash-key.js';
import {log} from '../observe/log.js';
import {computeSha256} from '../util/compute-sha256.js';
import {type AdmittedRequest} from '../forwarding/admitted-request.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type CrashChecker} from './crash-checker.js';
import {type CrashFindings} from './crash-findings.js';
import {type CrashReport} from './crash-report.js';
import {type PoisonRequestDetector} from './poison-request-detector.js';

const {retentionMs, maxReportedParts, maxReportedCondemned} = poisonLimits;
/** How long a crash is included in the reports to other hosts; longer while a request that it condemned is not listed. */
const crashReportMs = 3000;
/** How long reports of a crash state the parts of the prompt, and cleared or condemned parts are reported. */
const partReportMs = 1000;
/** Hexadecimal digits of a request's digest; few, since each report to other hosts repeats it. */
const digestLength = 32;

/** Options of `createPoisonRequestDetector`. */
type PoisonRequestDetectorOptions = {
	readonly checkUpstream: CrashChecker;
	readonly now: () => number;
	/** Returns whether it is this host's turn to try condemned parts, given the name of the turn. */
	readonly hasTurn: (turn: string) => boolean;
	/** Called when this host condemns a request; `isOwn`: after a crash that it has seen itself. */
	readonly onCondemn: (digest: string, isOwn: boolean) => void;
	/** Called when this host condemns parts of prompts; `until` is in Unix milliseconds. */
	readonly onCondemnParts: (condemned: CondemnedParts) => void;
	/** Called with parts that a completed request has cleared; `isOwn`: one of this host. */
	readonly onClearParts: (parts: readonly string[], isOwn: boolean) => void;
	/** Whether a condemned request is not yet in the list that hosts read when they start. */
	readonly isUnlisted: (digest: string) => boolean;
	/** Returns the condemned parts that are not yet in that list. */
	readonly listUnlistedParts: () => readonly CondemnedParts[];
};

/** A crash that this host knows. */
type KnownCrash = {
	readonly crash: CrashReport;
	readonly at: number;
	readonly isOwn: boolean;
};

/** Returns the parts of the prompt that other requests may share, each with its model. */
function listSharedParts({request: {prompt}}: AdmittedRequest): readonly string[] {
	return prompt ? prompt.parts.slice(0, -1).map(({id}) => `${prompt.model}/${id}`) : [];
}

/** Creates the detector. A crash counts only if a check finds that the upstream has ended; each start of an upstream counts once for a request. */
export function createPoisonRequestDetector({
	checkUpstream, now, hasTurn, onCondemn, onCondemnParts, onClearParts, isUnlisted, listUnlistedParts,
}: PoisonRequestDetectorOptions): PoisonRequestDetector {
	const tracker = createCrashCauseTracker();
	const completedParts = createCompletedParts();
	/** Known crashes by request, upstream and start. */
	const seenCrashes = new Map<string, KnownCrash>();
	/** When suspected parts were cleared here. */
	const clearedAt = new Map<string, number>();

	/** Leaves out the route, since a change of the configuration may serve the same request on another one. */
	const computeDigest = ({request, workspace, body}: AdmittedRequest): string =>
		computeSha256([request.host, request.method, request.target, workspace?.name ?? '', body?.toString('latin1') ?? ''].join('\n')).slice(0, digestLength);

	const describe = (admitted: AdmittedRequest): CrashedRequest => ({
		digest: computeDigest(admitted), workspace: admitted.workspace?.name ?? '', parts: listSharedParts(admitted),
	});

	const removeExpired = (): void => {
		for (const [key, {at}] of seenCrashes) {
			if (now() - at > retentionMs) {
				seenCrashes.delete(key);
			}
		}

		for (const [part, at] of clearedAt) {
			if (now() - at > partReportMs) {
				clearedAt.delete(part);
			}
		}
	};

	/** Offsets between the tracker's clock and Unix time. */
	const toUnix = (at: number): number => Date.now() + (at - now());
	const fromUnix = (at: number): number => now() + (at - Date.now());

	const recordCrash = (crash: CrashReport, isOwn: boolean): void => {
		const [digest, upstream, startedAt, traits = {workspace: '', parts: []}] = crash;
		const key = getCrashKey(crash);
		const known = seenCrashes.get(key);
		const isNews = !known || (known.crash[3] === undefined && crash[3] !== undefined);
		if (!isNews) {
			return;
		}

		removeExpired();
		seenCrashes.set(key, {crash, at: known?.at ?? now(), isOwn: known?.isOwn ?? isOwn});
		const request = {digest, ...traits};
		const isCounted = tracker.recordCrash({upstream, startedAt}, request, now());
		log.warn({
			digest, upstream, startedAt, parts: traits.parts, workspace: traits.workspace, isCounted,
			condemned: tracker.findCause(request, now(), () => false) !== undefined, seenHere: isOwn,
		}, 'request crashed an upstream');
	};

	const checkForCrash = async (request: CrashedRequest, requestId: string | undefined, upstream: Upstream, isGivenUp: boolean): Promise<void> => {
		const {digest, workspace, parts} = request;
		const {id, startedAt = 0} = upstream;
		const crash: CrashReport = [digest, id, startedAt, {workspace, parts}];
		const result = await checkUpstream(upstream, isGivenUp);
		log.info({
			requestId: requestId ?? '', digest, parts, upstream: id, startedAt, isGivenUp, result, isKnown: seenCrashes.has(getCrashKey(crash)),
		}, 'checked whether an upstream crashed');
		if (result !== 'up') {
			recordCrash(crash, true);
		}
	};

	const announceCondemned = (): void => {
		const {digests, parts} = tracker.takeNewlyCondemned(now());
		for (const digest of digests) {
			onCondemn(digest, [...seenCrashes.values()].some(({crash, isOwn}) => isOwn && crash[0] === digest));
		}

		for (const condemned of parts) {
			log.warn({...condemned, until: Math.round(toUnix(condemned.until))}, 'parts of prompts crash upstreams, requests with them are refused');
			onCondemnParts({...condemned, until: Math.round(toUnix(condemned.until))});
		}
	};

	/** Returns the crashes to report; the newest ones with the parts of their prompts, within the limit. */
	const listCrashes = (): readonly CrashReport[] => {
		const reported = [...seenCrashes.values()].filter(({crash: [digest], at, isOwn}) => isOwn && (now() - at < crashReportMs || isUnlisted(digest)));
		const crashes = reported.toReversed().map(({crash, at}): CrashReport => now() - at < partReportMs ? crash : [crash[0], crash[1], crash[2]]);
		return limitReportedParts(crashes, maxReportedParts);
	};

	return {
		findCause(admitted) {
			if (tracker.isEmpty()) {
				return undefined;
			}

			const request = describe(admitted);
			const cause = tracker.findCause(request, now(), turn => {
				const isOwn = hasTurn(turn);
				if (isOwn) {
					log.info({requestId: admitted.request.id ?? '', digest: request.digest, parts: request.parts}, 'request is sent to try condemned parts');
				}

				return isOwn;
			});
			if (cause) {
				log.info({
					requestId: admitted.request.id ?? '', digest: request.digest, cause: cause.kind, parts: cause.parts, upstreams: cause.upstreams,
					leftMs: Math.round(cause.until - now()),
				}, 'request crashes upstreams and is not sent');
			}

			return cause;
		},
		checkForCrash(admitted, upstream, sentAt, isGivenUp) {
			const request = describe(admitted);
			const parts = completedParts.listNotCompletedSince(request.parts, sentAt);
			void checkForCrash({...request, parts}, admitted.request.id, upstream, isGivenUp);
		},
		recordSuccess(admitted) {
			completedParts.record(listSharedParts(admitted), now());
			if (tracker.isEmpty()) {
				return;
			}

			const cleared = tracker.recordSuccess(describe(admitted), now());
			for (const part of cleared) {
				clearedAt.set(part, now());
			}

			if (cleared.length > 0) {
				onClearParts(cleared, true);
				log.info({requestId: admitted.request.id ?? '', parts: cleared}, 'request completed, its parts crash no upstreams');
			}
		},
		addFindings({crashes, clearedParts = [], condemnedParts = []}) {
			for (const crash of crashes) {
				recordCrash(crash, false);
			}

			tracker.clearParts(clearedParts);
			if (clearedParts.length > 0) {
				onClearParts(clearedParts, false);
			}

			for (const condemned of condemnedParts) {
				tracker.addCondemnedParts({...condemned, until: fromUnix(condemned.until)});
			}
		},
		clearParts: tracker.clearParts,
		addCondemned(requests, parts) {
			for (const {digest, until} of requests) {
				if (until > Date.now()) {
					tracker.addCondemnedRequest(digest, fromUnix(until));
					log.info({digest, remainingMs: until - Date.now()}, 'request is listed as crashing upstreams');
				}
			}

			for (const condemned of parts) {
				if (condemned.until > Date.now()) {
					tracker.addCondemnedParts({...condemned, until: fromUnix(condemned.until)});
					log.info({...condemned}, 'parts of prompts are listed as crashing upstreams');
				}
			}
		},
		news() {
			announceCondemned();
			removeExpired();
			return {
				crashes: listCrashes(),
				clearedParts: [...clearedAt.keys()].slice(0, maxReportedParts),
				condemnedParts: listUnlistedParts().slice(0, maxReportedCondemned),
			};
		},
	};
}
