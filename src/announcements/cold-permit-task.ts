import {type ColdPermitRequest} from './cold-permit-request.js';
import {type PermitResult} from './permit-result.js';
import {type PermitTask} from './permit-task.js';

/** Permits for requests to cold upstreams, and to those that state a limit. */
export type ColdPermitTask = PermitTask & {
	/** Returns whether a probe of an upstream may be sent now. */
	readonly acquireProbe: (upstreamId: string) => Promise<boolean>;
	/** Counts a probe that {@link acquireProbe} has not counted; returns the least time to the next one, in milliseconds. */
	readonly chargeProbe: (upstreamId: string) => number;
	/** Answers another host's request for a permit for a cold upstream. */
	readonly answerCold: (request: ColdPermitRequest) => PermitResult;
	readonly stop: () => void;
};
