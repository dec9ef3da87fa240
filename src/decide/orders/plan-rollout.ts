import {type RolloutEngine} from './rollout-engine.js';
import {type RolloutUrgency} from './rollout-urgency.js';
import {getMaxConcurrentLoads} from './get-max-concurrent-loads.js';

/**
Returns the ids of the engines to update to `targetVersion` next, as many as may load at the same time. Engines with the
oldest weights come first, and among these the ones with the fewest requests in flight, so that running requests delay the
rollout least. An engine that does not respond takes up no place of another one. Load pattern: new weights are published under full
traffic, and again before the previous rollout has ended.
*/
export function planRollout(engines: readonly RolloutEngine[], targetVersion: number, urgency?: RolloutUrgency): readonly string[] {
	const behind = engines.filter(engine => engine.version < targetVersion).length;
	const loading = engines.filter(engine => engine.isBusy && !engine.isUnresponsive).length;
	const freeLoads = Math.max(0, getMaxConcurrentLoads(engines.length, behind, urgency) - loading);
	return engines
		.filter(engine => !engine.isBusy && engine.version < targetVersion)
		.toSorted((a, b) => a.version - b.version || a.inFlight - b.inFlight || (a.id < b.id ? -1 : 1))
		.slice(0, freeLoads)
		.map(engine => engine.id);
}
