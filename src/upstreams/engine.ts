import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type CacheEvents} from './cache-events.js';
import {type EngineEvent} from './engine-event.js';
import {type EngineOrder} from './engine-order.js';
import {type EngineLoadReport} from './engine-load-report.js';
import {type EngineRequest} from './engine-request.js';

/** A model engine as the system uses it. */
export type Engine = {
	/**
	Streams a completion. Tokens come in order, each once, and belong to this attempt and version.
	@throws {UpstreamResponseError} When the stream ends early, stalls, crosses another or was never begun.
	*/
	readonly run: (run: EngineRequest) => AsyncIterable<EngineEvent>;
	readonly report: (timeoutMs: number) => Promise<EngineLoadReport>;
	readonly listCacheEvents: (after: number) => Promise<CacheEvents>;
	readonly listCachedPieces: () => Promise<{readonly seq: number; readonly keys: readonly string[]}>;
	/**
	Imports a stored piece; `false` when block, generation or checksum are not as sealed.
	@throws {Error} When it takes longer than `timeoutMs`.
	*/
	readonly importPiece: (piece: StoredPiece, storeUrl: string, timeoutMs?: number) => Promise<boolean>;
	/** Writes a cached piece into a reserved block; gives its checksum, or `undefined` when it is not cached. */
	readonly exportPiece: (key: string, storeUrl: string, block: number, generation: number) => Promise<string | undefined>;
	readonly sendOrder: (order: EngineOrder) => Promise<'done' | 'refused'>;
};
