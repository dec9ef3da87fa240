import {createPieceIndex} from '../context/create-piece-index.js';
import {type PieceIndex} from '../context/piece-index.js';
import {scorePieceRetention} from '../decide/context/score-piece-retention.js';
import {type createVirtualClock} from './create-virtual-clock.js';
import {type Deployment} from './deployment.js';

const evictionBatchPieces = 8;

/** Model of a service's store with the directory that serves it. */
type StoreModel = {
	readonly pieceIndex: PieceIndex;
	/** Makes room for a piece; `false` when what is kept is worth more. */
	readonly reserve: (tokens: number, depth: number) => boolean;
	/** Slowdown of a read: 1 from memory, more from disk. */
	readonly readSlowdown: () => number;
	readonly setCapacity: (pieces: number) => void;
};

/** Creates the model of a store. */
export function createStoreModel(clock: ReturnType<typeof createVirtualClock>, service: Deployment['services'][number], random: () => number): StoreModel {
	const pieceIndex = createPieceIndex(() => 0, random);
	let capacityPieces = service.memoryPieces + service.diskPieces;
	let usedPieces = 0;
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
		// The share of kept pieces that are on disk is read at half the speed.
		readSlowdown: () => 1 + Math.max(0, 1 - (service.memoryPieces / Math.max(1, usedPieces))),
		setCapacity(pieces) {
			capacityPieces = pieces;
			while (usedPieces > capacityPieces && evict(Number.POSITIVE_INFINITY, evictionBatchPieces) > 0) {
				// Frees until the rest fits.
			}
		},
	};
}
