import {type PieceIndexTask} from '../context/piece-index-task.js';
import {getFetchTimeoutMs} from '../decide/context/get-fetch-timeout-ms.js';
import {type LinkEstimator} from '../decide/routing/link-estimator.js';
import {type RoutingPlan} from '../decide/routing/routing-plan.js';
import {type Metrics} from '../observe/metrics.js';
import {type CacheStoreSettings} from '../settings/cache-store-settings.js';
import {type Engine} from '../upstreams/engine.js';
import {type CompletionRequest} from './completion-request.js';
import {type CompletionPlan} from './completion-plan.js';

/**
Imports the stored pieces that a routing plan fetches into its engine. Stops at the first piece whose import
fails or takes too long, or whose block no longer holds it.

@param cachedPieces - Number of leading pieces that the engine has cached already.
*/
type PieceImporter = (request: CompletionRequest, engine: Engine, route: RoutingPlan, cachedPieces: number, plan: CompletionPlan) => Promise<void>;

/** Creates the function that imports stored pieces into engines. */
export function createPieceImporter(pieceIndex: PieceIndexTask, linkOf: (store: CacheStoreSettings) => LinkEstimator, metrics: Metrics): PieceImporter {
	return async (request, engine, route, cachedPieces, {pieces, labels}) => {
		let bytes = 0;
		for (const piece of route.fetchPieces) {
			const index = pieces.findIndex(candidate => candidate.key === piece.key);
			const store = request.service.stores.find(candidate => candidate.name === piece.store);
			if (index < cachedPieces || !store) {
				continue;
			}

			const linkEstimator = linkOf(store);
			const startedAt = Date.now();
			const timeoutMs = getFetchTimeoutMs(linkEstimator.estimateTransferMs(piece.bytes, startedAt));
			linkEstimator.begin(piece.bytes);
			let isImported = false;
			try {
				isImported = await engine.importPiece(piece, store.url, timeoutMs);
				linkEstimator.end(piece.bytes, Date.now() - startedAt, Date.now());
			} catch {
				// Too slow or failed: the engine recomputes the rest. The piece stays in the index, since it may still be stored.
				linkEstimator.fail(piece.bytes, Date.now());
				break;
			}

			if (!isImported) {
				// The block no longer holds the piece; the index removes the block from the piece's record.
				pieceIndex.add([{
					service: request.service.service, label: labels[index]!, key: piece.key, workspace: request.workspace.name,
					tokens: pieces[index]!.tokens, depth: index, lost: true,
				}]);
				break;
			}

			bytes += piece.bytes;
		}

		metrics.linkBytes.inc({service: request.service.service, direction: 'in'}, bytes);
	};
}
