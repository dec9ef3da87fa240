import PQueue from 'p-queue';
import {scorePieceRetention} from '../decide/context/score-piece-retention.js';
import {shouldOffload} from '../decide/context/should-offload.js';
import {type PromptPiece} from '../decide/context/prompt-piece.js';
import {type LinkEstimator} from '../decide/routing/link-estimator.js';
import {log} from '../observe/log.js';
import {type CacheStoreSettings} from '../settings/cache-store-settings.js';
import {type Engine} from '../upstreams/engine.js';
import {type CacheStore} from '../upstreams/cache-store.js';
import {type PieceIndexTask} from './piece-index-task.js';

const maxConcurrentTransfers = 2;
const queueLimit = 500;

/** A request to copy a prompt piece from an engine's cache to a cache store. */
type OffloadRequest = {
	readonly service: string;
	readonly workspace: string;
	readonly label: string;
	readonly piece: PromptPiece;
	readonly depth: number;
	/** Size of the piece's KV cache in bytes. */
	readonly bytes: number;
	/** Number of requests that have used the piece, including this one. */
	readonly uses: number;
	readonly engine: Engine;
	readonly engineName: string;
	readonly store: CacheStoreSettings;
};

/** Options of `createOffloadTask`. */
type OffloadTaskOptions = {
	/** The piece index, to which stored pieces are added. */
	readonly context: PieceIndexTask;
	readonly storeAt: (url: string) => CacheStore;
	readonly linkOf: (store: CacheStoreSettings) => LinkEstimator;
	/** Called with the bytes of every piece that was written and sealed. */
	readonly onBytes: (service: string, bytes: number) => void;
};

/** The running offload task. */
type OffloadTask = {
	/** Queues a piece. Drops it when the queue is full or the link to the store is backlogged; the next request that uses the piece offers it again. */
	readonly offer: (offload: OffloadRequest) => void;
};

/**
Creates the task that writes pieces to cache stores. It reserves a block, writes it, seals it, and only then adds the piece
to the piece index, so that the index lists no block that is incomplete.
*/
export function createOffloadTask({context: pieceIndex, storeAt, linkOf, onBytes}: OffloadTaskOptions): OffloadTask {
	const queue = new PQueue({concurrency: maxConcurrentTransfers});

	const reserve = async (offload: OffloadRequest, retentionScore: number) => {
		const {service, label, piece, bytes, store} = offload;
		const client = storeAt(store.url);
		const tag = pieceIndex.computeTag(label);
		const reservation = await client.reserve(piece.key, bytes, tag);
		if (reservation) {
			return reservation;
		}

		const freed = await pieceIndex.evict(service, store.name, label, retentionScore);
		return freed === 0 ? undefined : client.reserve(piece.key, bytes, tag);
	};

	const write = async (offload: OffloadRequest): Promise<void> => {
		const {service, workspace, label, piece, depth, bytes, engine, store} = offload;
		const client = storeAt(store.url);
		const retentionScore = scorePieceRetention({
			uses: 1, ageMs: 0, tokens: piece.tokens, bytes, depth,
		});
		const reservation = await reserve(offload, retentionScore);
		if (!reservation) {
			return;
		}

		const link = linkOf(store);
		const startedAt = Date.now();
		link.begin(bytes);
		try {
			const checksum = await engine.exportPiece(piece.key, store.url, reservation.block, reservation.generation);
			link.end(bytes, Date.now() - startedAt, Date.now());
			if (checksum === undefined || !await client.seal(reservation.block, reservation.generation, checksum)) {
				await client.free(reservation.block, reservation.generation);
				return;
			}

			onBytes(service, bytes);
			const stored = {
				key: piece.key, store: store.name, block: reservation.block, generation: reservation.generation, checksum, bytes,
			};
			pieceIndex.add([{
				service, label, key: piece.key, workspace, tokens: piece.tokens, depth, engine: offload.engineName, stored,
			}]);
		} catch (error) {
			link.fail(bytes, Date.now());
			await client.free(reservation.block, reservation.generation);
			throw error;
		}
	};

	return {
		offer(offload) {
			if (queue.size >= queueLimit || !shouldOffload(offload.uses, linkOf(offload.store).estimateTransferMs(0, Date.now()))) {
				return;
			}

			void queue.add(async () => {
				try {
					await write(offload);
				} catch (error) {
					log.debug({store: offload.store.name, error: String(error)}, 'offload failed');
				}
			});
		},
	};
}
