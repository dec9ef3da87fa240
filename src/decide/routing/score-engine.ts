import {type EngineView} from './engine-view.js';
import {type RoutingInput} from './routing-input.js';
import {type RoutingPlan} from './routing-plan.js';
import {type StoredPiece} from './stored-piece.js';

const tokensPerUnit = 1000;
const bytesPerUnit = 1e9;

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Lists the stored pieces that follow the cached prefix without a gap. */
function listFetchable(request: RoutingInput, from: number): readonly StoredPiece[] {
	const rest = request.stored.slice(from);
	const gap = rest.indexOf(undefined);
	return (gap === -1 ? rest : rest.slice(0, gap)) as readonly StoredPiece[];
}

function scorePlan(request: RoutingInput, engine: EngineView, fetchPieces: readonly StoredPiece[]): RoutingPlan {
	const have = engine.cachedPieces + fetchPieces.length;
	const recomputedTokens = sum(request.pieceTokens.slice(have));
	const linkBytes = sum(fetchPieces.map(piece => piece.bytes));
	const fetchMs = fetchPieces.length === 0 ? 0 : request.estimateFetchMs(fetchPieces[0]!.store, linkBytes);
	const prefillMs = recomputedTokens / engine.prefillTokensPerS * 1000;
	const firstTokenMs = engine.networkLatencyMs + engine.waitMs + fetchMs + prefillMs;
	const score = (request.cost.firstToken * firstTokenMs / 1000)
		+ (request.cost.recomputed * recomputedTokens / tokensPerUnit)
		+ (request.cost.link * linkBytes / bytesPerUnit);
	return {
		engine: engine.name, score, firstTokenMs, recomputedTokens, linkBytes, fetchPieces,
	};
}

/**
Scores one engine for a request. Cost is linear in the number of fetched pieces, so the best plan fetches either
nothing or all that follows the cached prefix.
*/
export function scoreEngine(request: RoutingInput, engine: EngineView): RoutingPlan {
	const fetchable = listFetchable(request, engine.cachedPieces);
	const without = scorePlan(request, engine, []);
	if (fetchable.length === 0) {
		return without;
	}

	const withFetch = scorePlan(request, engine, fetchable);
	return withFetch.score < without.score ? withFetch : without;
}
