import {type EngineWaitEstimator} from './engine-wait-estimator.js';

/** Creates the estimator. A recorded wait decreases by the time that has passed since. */
export function createEngineWaitEstimator(): EngineWaitEstimator {
	const lastWaits = new Map<string, {readonly waitMs: number; readonly at: number}>();
	return {
		record(engine, waitMs, now) {
			lastWaits.set(engine, {waitMs, at: now});
		},
		estimateWaitMs(engine, now) {
			const last = lastWaits.get(engine);
			return last ? Math.max(0, last.waitMs - (now - last.at)) : 0;
		},
	};
}
