import {type EngineReport} from './engine-report.js';
import {type WeightUpdateOrder} from './weight-update-order.js';
import {type OrderResult} from './order-result.js';
import {type KvEventBatch} from './kv-event-batch.js';

/** Client for control calls to engines and KV cache stores. Every function may throw unless noted otherwise. */
export type EngineClient = {
	/** Reads the weights and the state of an engine. */
	readonly report: (address: string) => Promise<EngineReport>;
	/** Reads when an engine started, in Unix milliseconds; `undefined` when it responds and does not say. */
	readonly readStart: (address: string) => Promise<number | undefined>;
	/** Sends an order that only the engine with this id accepts. */
	readonly order: (address: string, upstreamId: string, order: WeightUpdateOrder) => Promise<OrderResult>;
	/** Waits up to `waitMs` for events of a KV cache store after number `since`. */
	readonly pollKvEvents: (address: string, since: number, waitMs: number) => Promise<KvEventBatch>;
	/** Lists the complete parts in a KV cache store as additions, and its unfinished saves. */
	readonly listKvParts: (address: string) => Promise<KvEventBatch>;
	/**
	Frees parts unless the store has restarted since `epoch`, or `untilMs` has passed on its clock; returns whether the store accepted the call.
	*/
	readonly freeKvParts: (address: string, epoch: number, parts: ReadonlyArray<{readonly scope: string; readonly part: string}>, untilMs?: number) => Promise<boolean>;
	/** Whether anything responds to a GET request on a new connection within a time in milliseconds, whatever it is. Never throws. */
	readonly ping: (address: string, target: string, timeoutMs: number) => Promise<boolean>;
	/** Whether an address accepts connections. Never throws. */
	readonly isUp: (address: string) => Promise<boolean>;
	/** Closes all connections. */
	readonly stop: () => Promise<void>;
};
