import {createPieceIndex} from '../context/create-piece-index.js';
import {type PieceIndex} from '../context/piece-index.js';
import {scorePieceRetention} from '../decide/context/score-piece-retention.js';
import {type createVirtualClock} from './create-virtual-clock.js';
import {type Deployment} from './deployment.js';

const evictedAtOnce = 8;

/** Model of a service's store with the directory that serves it. */
type StoreModel = {
	readonly directory: PieceIndex;
	/** Makes room for a piece; `false` when what is kept is worth more. */
	readonly reserve: (tokens: number, depth: number) => boolean;
	/** Slowdown of a read: 1 from memory, more from disk. */
	readonly readSlowdown: () => number;
	readonly setCapacity: (pieces: number) => void;
};

/** Creates the model of a store. */
export function createStoreModel(clock: ReturnType<typeof createVirtualClock>, service: Deployment['services'][number], random: () => number): StoreModel {
	const directory = createPieceIndex(() => 0, random);
	let room = service.memoryPieces + service.diskPieces;
	let used = 0;
	const free = (value: number, count: number): number => {
		const freed = directory.takeLeastValuable('store', value, count, clock.now()).length;
		used -= freed;
		return freed;
	};

	return {
		directory,
		reserve(tokens, depth) {
			const value = scorePieceRetention({
				uses: 1, ageMs: 0, tokens, bytes: service.pieceBytes, depth,
			});
			if (used >= room && free(value, evictedAtOnce) === 0) {
				return false;
			}

			used++;
			return true;
		},
		// The share of kept pieces that are on disk is read at half the speed.
		readSlowdown: () => 1 + Math.max(0, 1 - (service.memoryPieces / Math.max(1, used))),
		setCapacity(pieces) {
			room = pieces;
			while (used > room && free(Number.POSITIVE_INFINITY, evictedAtOnce) > 0) {
				// Frees until the rest fits.
			}
		},
	};
}
