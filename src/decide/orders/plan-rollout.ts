import {type RolloutEngine} from './rollout-engine.js';
import {getMaxConcurrentLoads} from './get-max-concurrent-loads.js';

const getUsableForMs = ({usableForMs = Number.POSITIVE_INFINITY}: RolloutEngine): number => usableForMs;

/**
Returns the ids of the engines to update to `targetVersion` next, as many as may load at the same time. Engines with the
oldest weights come first, and among these the ones with the fewest requests in flight, so that running requests delay the
rollout least; those that did not respond come last. Engines whose weights can't be used any more serve nothing: all of them are updated
at once, and take up no place of those that serve. Load pattern: new weights are published under full traffic, and again before the previous rollout has ended.

@param updateMs - Expected time from the choice of an engine until it has the weights, in milliseconds.
*/
export function planRollout(engines: readonly RolloutEngine[], targetVersion: number, updateMs = 0): readonly string[] {
	const behind = engines.filter(engine => engine.version < targetVersion);
	const isSpent = (engine: RolloutEngine): boolean => engine.version < targetVersion && getUsableForMs(engine) <= 0;
	const candidates = behind
		.filter(engine => !engine.isBusy)
		.toSorted((a, b) => Number(a.isUnresponsive ?? false) - Number(b.isUnresponsive ?? false)
			|| a.version - b.version || a.inFlight - b.inFlight || (a.id < b.id ? -1 : 1));
	const usable = behind.filter(engine => !isSpent(engine));
	const serving = engines.filter(engine => !isSpent(engine));
	const maxLoads = getMaxConcurrentLoads(serving.length, usable.length, {usableForMs: Math.min(...usable.map(engine => getUsableForMs(engine))), updateMs});
	const freeLoads = Math.max(0, maxLoads - serving.filter(engine => engine.isBusy).length);
	return [...candidates.filter(engine => isSpent(engine)), ...candidates.filter(engine => !isSpent(engine)).slice(0, freeLoads)].map(engine => engine.id);
}
