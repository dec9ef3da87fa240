import {type CondemnedRequest} from '../decide/poison/condemned-request.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type Upstream} from './upstream.js';
import {type CrashReport} from './crash-report.js';

/** Detects requests that crash the upstreams that run them. */
export type PoisonRequestDetector = {
	/** Whether a request has crashed two upstreams and so is refused. */
	readonly isCondemned: (admitted: AdmittedRequest) => boolean;
	/** Checks whether an upstream crashed after it ended a request without a response, or this host gave the request up. */
	readonly checkForCrash: (admitted: AdmittedRequest, upstream: Upstream, isGivenUp: boolean) => void;
	/** Records that a request got a response, which clears its crash; a condemned one stays refused. */
	readonly recordSuccess: (admitted: AdmittedRequest) => void;
	/** Adds crashes that another host reported. */
	readonly addRemoteCrashes: (crashes: readonly CrashReport[]) => void;
	/** Adds the requests that hosts have condemned and listed in the object store. */
	readonly addCondemned: (requests: readonly CondemnedRequest[]) => void;
	/** Returns the crashes to report to other hosts. */
	readonly news: () => readonly CrashReport[];
};
