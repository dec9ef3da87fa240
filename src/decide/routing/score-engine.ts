import {type EngineView} from './engine-view.js';
import {type RoutingInput} from './routing-input.js';
import {type RoutingPlan} from './routing-plan.js';
import {type StoredPiece} from './stored-piece.js';

const tokensPerCostUnit = 1000;
const bytesPerCostUnit = 1e9;

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Returns the stored pieces that directly follow the cached prefix, up to the first piece that is not stored. */
function listFetchablePieces(request: RoutingInput, from: number): readonly StoredPiece[] {
	const following = request.stored.slice(from);
	const firstMissing = following.indexOf(undefined);
	return (firstMissing === -1 ? following : following.slice(0, firstMissing)) as readonly StoredPiece[];
}

function scorePlan(request: RoutingInput, engine: EngineView, fetchPieces: readonly StoredPiece[]): RoutingPlan {
	const availablePieces = engine.cachedPieces + fetchPieces.length;
	const recomputedTokens = sum(request.pieceTokens.slice(availablePieces));
	const linkBytes = sum(fetchPieces.map(piece => piece.bytes));
	const fetchMs = fetchPieces.length === 0 ? 0 : request.estimateFetchMs(fetchPieces[0]!.store, linkBytes);
	const prefillMs = recomputedTokens / engine.prefillTokensPerS * 1000;
	const firstTokenMs = engine.networkLatencyMs + engine.waitMs + fetchMs + prefillMs;
	const score = (request.cost.firstToken * firstTokenMs / 1000)
		+ (request.cost.recomputed * recomputedTokens / tokensPerCostUnit)
		+ (request.cost.link * linkBytes / bytesPerCostUnit);
	return {
		engine: engine.name, score, firstTokenMs, recomputedTokens, linkBytes, fetchPieces,
	};
}

/**
Returns the best plan to run a request on one engine. Cost is linear in the number of fetched pieces, so the best plan fetches either
nothing or all stored pieces that directly follow the cached prefix.
*/
export function scoreEngine(request: RoutingInput, engine: EngineView): RoutingPlan {
	const fetchable = listFetchablePieces(request, engine.cachedPieces);
	const planWithoutFetch = scorePlan(request, engine, []);
	if (fetchable.length === 0) {
		return planWithoutFetch;
	}

	const planWithFetch = scorePlan(request, engine, fetchable);
	return planWithFetch.score < planWithoutFetch.score ? planWithFetch : planWithoutFetch;
}
