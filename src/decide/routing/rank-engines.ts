import {type EngineView} from './engine-view.js';
import {type RoutingInput} from './routing-input.js';
import {type RoutingPlan} from './routing-plan.js';
import {scoreEngine} from './score-engine.js';

const tieBreakRange = 0.001;

/**
Ranks engines for a request, best first.

@param random - Breaks near ties, so that hosts with the same data do not all choose the same engine.
*/
export function rankEngines(request: RoutingInput, engines: readonly EngineView[], random: () => number): readonly RoutingPlan[] {
	return engines
		.map(engine => ({route: scoreEngine(request, engine), tieBreak: random() * tieBreakRange}))
		.toSorted((a, b) => a.route.score + a.tieBreak - b.route.score - b.tieBreak)
		.map(entry => entry.route);
}
