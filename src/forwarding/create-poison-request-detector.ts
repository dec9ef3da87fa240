import {createPoisonRequestTracker} from '../decide/poison/create-poison-request-tracker.js';
import {log} from '../observe/log.js';
import {computeSha256} from '../util/compute-sha256.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type EngineClient} from './engine-client.js';
import {type Upstream} from './upstream.js';
import {type CrashReport} from './crash-report.js';
import {type PoisonRequestDetector} from './poison-request-detector.js';

/** Other hosts are told of a crash for this long. */
const newsMs = 3000;
/** A crashed upstream refuses connections; it is asked this long after the break. */
const askAfterMs = 20;

/** What the watch needs. */
type PoisonRequestDetectorOptions = {
	readonly control: Pick<EngineClient, 'isUp'>;
	readonly now: () => number;
};

/** Creates the watch. A crash counts only if the upstream is found down after it, and each upstream counts once for a request. */
export function createPoisonRequestDetector({control, now}: PoisonRequestDetectorOptions): PoisonRequestDetector {
	const register = createPoisonRequestTracker();
	/** Crashes seen, with their time; the first makes a suspect and the second condemns. */
	const seen = new Map<string, {readonly crash: CrashReport; readonly at: number; readonly isOwn: boolean}>();
	let suspects = 0;

	const toDigest = ({request, route, workspace, body}: AdmittedRequest): string =>
		computeSha256([route.name, request.method, request.target, workspace?.name ?? '', body?.toString('latin1') ?? ''].join('\n'));

	const note = (crash: CrashReport, isOwn: boolean): void => {
		const key = crash.join('\n');
		if (seen.has(key)) {
			return;
		}

		seen.set(key, {crash, at: now(), isOwn});
		suspects++;
		const [request, upstream] = crash;
		if (register.isSuspect(request, now())) {
			register.condemn(request, now());
		} else {
			register.suspect(request, now());
		}

		log.warn({
			digest: request, upstream, condemned: register.isCondemned(request, now()), seenHere: isOwn,
		}, 'request crashed an upstream');
	};

	const look = async (request: string, {id, address}: Upstream): Promise<void> => {
		if (!await control.isUp(address)) {
			note([request, id], true);
		}
	};

	return {
		isCondemned: call => suspects > 0 && register.isCondemned(toDigest(call), now()),
		checkForCrash(call, upstream) {
			const request = toDigest(call);
			setTimeout(() => {
				void look(request, upstream);
			}, askAfterMs);
		},
		recordSuccess(call) {
			if (suspects > 0) {
				register.clear(toDigest(call));
			}
		},
		addRemoteCrashes(crashes) {
			for (const crash of crashes) {
				note(crash, false);
			}
		},
		news: () => [...seen.values()].filter(({at, isOwn}) => isOwn && now() - at < newsMs).map(({crash}) => crash),
	};
}
