import {type RolloutEngine} from './rollout-engine.js';
import {getMaxConcurrentLoads} from './get-max-concurrent-loads.js';

/**
Lists the engines to order next to version `target`: those with the oldest weights first, of these the emptiest, so that runs
under way hold up the roll-out least, and as many as load well at once. Load pattern: new weights named under full load, and again before the last roll-out ended.
*/
export function planRollout(engines: readonly RolloutEngine[], targetVersion: number): readonly string[] {
	const loading = engines.filter(engine => engine.isBusy).length;
	const freeLoads = Math.max(0, getMaxConcurrentLoads(engines.length) - loading);
	return engines
		.filter(engine => !engine.isBusy && engine.version < targetVersion)
		.toSorted((a, b) => a.version - b.version || a.inFlight - b.inFlight || (a.id < b.id ? -1 : 1))
		.slice(0, freeLoads)
		.map(engine => engine.id);
}
