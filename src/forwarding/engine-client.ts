import {type EngineReport} from './engine-report.js';
import {type WeightUpdateOrder} from './weight-update-order.js';
import {type OrderResult} from './order-result.js';
import {type KvEventBatch} from './kv-event-batch.js';

/** Calls to engines and to stores of kept context, apart from requests of callers. Every function may throw. */
export type EngineClient = {
	readonly report: (address: string) => Promise<EngineReport>;
	/** Sends an order to the engine with this id only. */
	readonly order: (address: string, upstreamId: string, order: WeightUpdateOrder) => Promise<OrderResult>;
	/** Waits for events after `since`. */
	readonly pollKvEvents: (address: string, since: number, waitMs: number) => Promise<KvEventBatch>;
	/** Lists the whole parts held, as additions. */
	readonly listKvParts: (address: string) => Promise<KvEventBatch>;
	/** Frees parts, unless the store has restarted since `epoch`. */
	readonly freeKvParts: (address: string, epoch: number, parts: ReadonlyArray<{readonly scope: string; readonly part: string}>) => Promise<boolean>;
	/** Whether an address takes connections. Never throws. */
	readonly isUp: (address: string) => Promise<boolean>;
	readonly stop: () => Promise<void>;
};
