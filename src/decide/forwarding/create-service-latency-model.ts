import {type ServiceLatencyModel} from './service-latency-model.js';

/** Weight of a new sample in the moving averages. */
const smoothingFactor = 0.03;
const initialPrefillTokensPerMs = 90;
const initialBaseMs = 70;
const initialResidenceMs = 300;
const initialPerRequestMs = 3;
const crossDomainMs = 3;
const minCorrection = 0.4;
const maxCorrection = 4;

/**
Creates the latency model of a service: initial parameters, scaled by a moving average of the ratio of observed to predicted times. Load
pattern: engines that become slower, for example when the links between them slow down.
*/
export function createServiceLatencyModel(): ServiceLatencyModel {
	let correction = 1;
	let residenceMs = initialResidenceMs;
	return {
		parameters: () => ({
			prefillTokensPerMs: initialPrefillTokensPerMs / correction,
			baseMs: initialBaseMs * correction,
			perRequestMs: initialPerRequestMs * correction,
			crossDomainMs,
			residenceMs,
		}),
		recordFirstByte(predictedMs, observedMs) {
			const ratio = Math.min(maxCorrection, Math.max(minCorrection, correction * observedMs / Math.max(1, predictedMs)));
			correction += smoothingFactor * (ratio - correction);
		},
		recordResidence(ms) {
			residenceMs += smoothingFactor * (ms - residenceMs);
		},
	};
}
