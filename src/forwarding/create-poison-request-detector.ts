import {createPoisonRequestTracker} from '../decide/poison/create-poison-request-tracker.js';
import {log} from '../observe/log.js';
import {computeSha256} from '../util/compute-sha256.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CrashCheckResult} from './crash-check-result.js';
import {type Upstream} from './upstream.js';
import {type CrashReport} from './crash-report.js';
import {type PoisonRequestDetector} from './poison-request-detector.js';

/** How long a crash is included in the reports to other hosts. */
const crashReportMs = 3000;

/** Options of `createPoisonRequestDetector`. */
type PoisonRequestDetectorOptions = {
	/** Checks whether an upstream has crashed that broke off a response. */
	readonly checkUpstream: (upstream: Upstream) => Promise<CrashCheckResult>;
	readonly now: () => number;
};

/** Creates the detector. A crash counts only if a check finds that the upstream has ended; each start of an upstream counts once for a request. */
export function createPoisonRequestDetector({checkUpstream, now}: PoisonRequestDetectorOptions): PoisonRequestDetector {
	const tracker = createPoisonRequestTracker();
	/** Known crashes by request and upstream; the first crash makes a request a suspect, the second condemns it. */
	const seenCrashes = new Map<string, {readonly crash: CrashReport; readonly at: number; readonly isOwn: boolean}>();
	let crashCount = 0;

	const computeDigest = ({request, route, workspace, body}: AdmittedRequest): string =>
		computeSha256([route.name, request.method, request.target, workspace?.name ?? '', body?.toString('latin1') ?? ''].join('\n'));

	const recordCrash = (crash: CrashReport, isOwn: boolean): void => {
		const key = crash.join('\n');
		if (seenCrashes.has(key)) {
			return;
		}

		seenCrashes.set(key, {crash, at: now(), isOwn});
		crashCount++;
		const [request, upstream, startedAt] = crash;
		if (tracker.isSuspect(request, now())) {
			tracker.condemn(request, now());
		} else {
			tracker.suspect(request, now());
		}

		log.warn({
			digest: request, upstream, startedAt, condemned: tracker.isCondemned(request, now()), seenHere: isOwn,
		}, 'request crashed an upstream');
	};

	const checkForCrash = async (digest: string, requestId: string | undefined, upstream: Upstream): Promise<void> => {
		const {id, startedAt = 0} = upstream;
		const crash: CrashReport = [digest, id, startedAt];
		const result = await checkUpstream(upstream);
		log.info({
			requestId: requestId ?? '', digest, upstream: id, startedAt, result, isKnown: seenCrashes.has(crash.join('\n')),
		}, 'checked whether an upstream crashed');
		if (result !== 'up') {
			recordCrash(crash, true);
		}
	};

	return {
		isCondemned(admitted) {
			if (crashCount === 0) {
				return false;
			}

			const digest = computeDigest(admitted);
			const isCondemned = tracker.isCondemned(digest, now());
			if (isCondemned) {
				log.info({requestId: admitted.request.id ?? '', digest}, 'request crashes upstreams and is not sent');
			}

			return isCondemned;
		},
		checkForCrash(admitted, upstream) {
			void checkForCrash(computeDigest(admitted), admitted.request.id, upstream);
		},
		recordSuccess(admitted) {
			if (crashCount > 0) {
				tracker.clear(computeDigest(admitted));
			}
		},
		addRemoteCrashes(crashes) {
			for (const crash of crashes) {
				recordCrash(crash, false);
			}
		},
		news: () => [...seenCrashes.values()].filter(({at, isOwn}) => isOwn && now() - at < crashReportMs).map(({crash}) => crash),
	};
}
