import {type UnreportedWorkEstimator} from './unreported-work-estimator.js';

/** Time over which the rate of work is averaged, in milliseconds. */
const decayTimeMs = 2000;

/**
Creates the estimate of the work that other hosts have placed since their last reports. Load pattern: scores of hosts that place
scores of requests between two reports; each would choose the upstream that had least to do, which by then has most.
All hosts are taken to place as much as this one.
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
