import {createPoisonRequestTracker} from '../decide/poison/create-poison-request-tracker.js';
import {log} from '../observe/log.js';
import {computeSha256} from '../util/compute-sha256.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type EngineClient} from './engine-client.js';
import {type Upstream} from './upstream.js';
import {type CrashReport} from './crash-report.js';
import {type PoisonRequestDetector} from './poison-request-detector.js';

/** Other hosts are told of a crash for this long. */
const crashReportMs = 3000;
/** A crashed upstream refuses connections; it is asked this long after the break. */
const probeDelayMs = 20;

/** What the watch needs. */
type PoisonRequestDetectorOptions = {
	readonly engineClient: Pick<EngineClient, 'isUp'>;
	readonly now: () => number;
};

/** Creates the watch. A crash counts only if the upstream is found down after it, and each upstream counts once for a request. */
export function createPoisonRequestDetector({engineClient, now}: PoisonRequestDetectorOptions): PoisonRequestDetector {
	const tracker = createPoisonRequestTracker();
	/** Crashes seen, with their time; the first makes a suspect and the second condemns. */
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
		const [request, upstream] = crash;
		if (tracker.isSuspect(request, now())) {
			tracker.condemn(request, now());
		} else {
			tracker.suspect(request, now());
		}

		log.warn({
			digest: request, upstream, condemned: tracker.isCondemned(request, now()), seenHere: isOwn,
		}, 'request crashed an upstream');
	};

	const probe = async (request: string, {id, address}: Upstream): Promise<void> => {
		if (!await engineClient.isUp(address)) {
			recordCrash([request, id], true);
		}
	};

	return {
		isCondemned: admitted => crashCount > 0 && tracker.isCondemned(computeDigest(admitted), now()),
		checkForCrash(admitted, upstream) {
			const request = computeDigest(admitted);
			setTimeout(() => {
				void probe(request, upstream);
			}, probeDelayMs);
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
