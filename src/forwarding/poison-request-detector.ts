import {type AdmittedRequest} from './admitted-request.js';
import {type Upstream} from './upstream.js';
import {type CrashReport} from './crash-report.js';

/** Finds requests that crash the upstreams that run them. */
export type PoisonRequestDetector = {
	/** Whether a request has crashed two upstreams and is to be refused. */
	readonly isCondemned: (call: AdmittedRequest) => boolean;
	/** Looks into a break without an answer. */
	readonly checkForCrash: (call: AdmittedRequest, upstream: Upstream) => void;
	/** Notes that a request was answered, which clears it. */
	readonly recordSuccess: (call: AdmittedRequest) => void;
	/** Takes crashes that another host tells of. */
	readonly addRemoteCrashes: (crashes: readonly CrashReport[]) => void;
	/** Crashes to tell other hosts of. */
	readonly news: () => readonly CrashReport[];
};
