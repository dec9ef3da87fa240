import {createPieceIndex} from '../context/create-piece-index.js';
import {type PieceIndex} from '../context/piece-index.js';
import {scorePieceRetention} from '../decide/context/score-piece-retention.js';
import {type createVirtualClock} from './create-virtual-clock.js';
import {type Deployment} from './deployment.js';

const evictionBatchPieces = 8;

/** Simulated KV store of a service, with the piece index of that service. */
type StoreModel = {
	readonly pieceIndex: PieceIndex;
	/** Reserves space for a piece, evicting less valuable ones; `false` when the store is full and none is less valuable. */
	readonly reserve: (tokens: number, depth: number) => boolean;
	/** Factor on the time of a read: 1 plus the share of stored pieces that are on disk, so between 1 and 2. */
	readonly readSlowdown: () => number;
	/** Sets the capacity and evicts the least valuable pieces until the rest fits. */
	readonly setCapacity: (pieces: number) => void;
};

/** Creates the simulated KV store of a service. */
export function createStoreModel(clock: ReturnType<typeof createVirtualClock>, service: Deployment['services'][number], random: () => number): StoreModel {
	const pieceIndex = createPieceIndex(() => 0, random);
	let capacityPieces = service.memoryPieces + service.diskPieces;
	let usedPieces = 0;
	/** Evicts up to `count` pieces with a value below `valueLimit`; returns their number. */
	const evict = (valueLimit: number, count: number): number => {
		const evictedPieces = pieceIndex.takeLeastValuable('store', valueLimit, count, clock.now()).length;
		usedPieces -= evictedPieces;
		return evictedPieces;
	};

	return {
		pieceIndex,
		reserve(tokens, depth) {
			const value = scorePieceRetention({
				uses: 1, ageMs: 0, tokens, bytes: service.pieceBytes, depth,
			});
			if (usedPieces >= capacityPieces && evict(value, evictionBatchPieces) === 0) {
				return false;
			}

			usedPieces++;
			return true;
		},
		// Pieces on disk are read at half the speed; a read is charged the average over all stored pieces.
		readSlowdown: () => 1 + Math.max(0, 1 - (service.memoryPieces / Math.max(1, usedPieces))),
		setCapacity(pieces) {
			capacityPieces = pieces;
			while (usedPieces > capacityPieces && evict(Number.POSITIVE_INFINITY, evictionBatchPieces) > 0) {
				// The condition evicts.
			}
		},
	};
}
