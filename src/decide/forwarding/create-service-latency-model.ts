import {type ServiceLatencyModel} from './service-latency-model.js';

const weight = 0.03;
const firstTokensPerMs = 90;
const firstBaseMs = 70;
const firstStayMs = 300;
const requestMs = 3;
const crossDomainMs = 3;
const leastCorrection = 0.4;
const mostCorrection = 4;

/**
Creates the pace of a service: first guesses, corrected by the mean ratio of observed to predicted times. Load pattern:
engines that are slower than they were, as when links between them slow down.
*/
export function createServiceLatencyModel(): ServiceLatencyModel {
	let correction = 1;
	let residenceMs = firstStayMs;
	return {
		parameters: () => ({
			prefillTokensPerMs: firstTokensPerMs / correction,
			baseMs: firstBaseMs * correction,
			perRequestMs: requestMs * correction,
			crossDomainMs,
			residenceMs,
		}),
		recordFirstByte(predictedMs, observedMs) {
			const ratio = Math.min(mostCorrection, Math.max(leastCorrection, correction * observedMs / Math.max(1, predictedMs)));
			correction += weight * (ratio - correction);
		},
		recordResidence(ms) {
			residenceMs += weight * (ms - residenceMs);
		},
	};
}
