import {type EngineView} from './engine-view.js';
import {type RouteRequest} from './route-request.js';
import {type Route} from './route.js';
import {scoreEngine} from './score-engine.js';

const tieSpread = 0.001;

/**
Ranks engines for a request, best first.

@param random - Breaks near ties, so that hosts with the same view do not all pick the same engine.
*/
export function rankEngines(request: RouteRequest, engines: readonly EngineView[], random: () => number): readonly Route[] {
	return engines
		.map(engine => ({route: scoreEngine(request, engine), tie: random() * tieSpread}))
		.toSorted((a, b) => a.route.score + a.tie - b.route.score - b.tie)
		.map(entry => entry.route);
}
