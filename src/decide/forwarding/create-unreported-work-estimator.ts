import {type UnreportedWorkEstimator} from './unreported-work-estimator.js';

/** Time constant of the exponential average of the work rate. */
const decayTimeMs = 2000;

/**
Creates the estimator of the work that other hosts have placed since their last reports. It assumes that each host places as much work as
this one. Load pattern: dozens of hosts that each place dozens of requests between two reports; without the estimate, all of them would
choose the upstream that was least loaded in the last reports and overload it.
*/
export function createUnreportedWorkEstimator(): UnreportedWorkEstimator {
	let workMs = 0;
	let updatedAt = 0;
	const decay = (now: number): void => {
		workMs *= Math.exp((updatedAt - now) / decayTimeMs);
		updatedAt = now;
	};

	return {
		record(addedMs, now) {
			decay(now);
			workMs += addedMs;
		},
		estimatePerUpstreamMs({otherHosts, reportAgeMs, upstreams}, now) {
			decay(now);
			return workMs / decayTimeMs * otherHosts * reportAgeMs / Math.max(1, upstreams);
		},
	};
}
