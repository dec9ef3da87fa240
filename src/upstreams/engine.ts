import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type CacheEvents} from './cache-events.js';
import {type EngineEvent} from './engine-event.js';
import {type EngineOrder} from './engine-order.js';
import {type EngineLoadReport} from './engine-load-report.js';
import {type EngineRequest} from './engine-request.js';

/** Client of a model engine. */
export type Engine = {
	/**
	Streams a completion. Tokens come in order, each once, and belong to this attempt and version.
	@throws {UpstreamResponseError} When the stream ends early, stalls, belongs to another attempt or version, or can't be started.
	*/
	readonly run: (run: EngineRequest) => AsyncIterable<EngineEvent>;
	/** Returns the engine's load report. */
	readonly report: (timeoutMs: number) => Promise<EngineLoadReport>;
	/** Returns the engine's cache events after the sequence number `after`. */
	readonly listCacheEvents: (after: number) => Promise<CacheEvents>;
	/** Returns the keys of all cached pieces and the newest sequence number of the cache events. */
	readonly listCachedPieces: () => Promise<{readonly seq: number; readonly keys: readonly string[]}>;
	/**
	Imports a stored piece; `false` when the block's generation or checksum differs from the sealed one.
	@throws {Error} When it takes longer than `timeoutMs`.
	*/
	readonly importPiece: (piece: StoredPiece, storeUrl: string, timeoutMs?: number) => Promise<boolean>;
	/** Writes a cached piece into a reserved block; returns its checksum, or `undefined` when it is not cached. */
	readonly exportPiece: (key: string, storeUrl: string, block: number, generation: number) => Promise<string | undefined>;
	/** Sends an order to load or unload a model version; `refused` when the engine rejects it. */
	readonly sendOrder: (order: EngineOrder) => Promise<'done' | 'refused'>;
};
