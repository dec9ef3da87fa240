import {type EngineReport} from './engine-report.js';
import {type VersionOrder} from './version-order.js';
import {type OrderAnswer} from './order-answer.js';
import {type PartNews} from './part-news.js';

/** Calls to engines and to stores of kept context, apart from requests of callers. Every function may throw. */
export type EngineControl = {
	readonly report: (address: string) => Promise<EngineReport>;
	/** Sends an order to the engine with this id only. */
	readonly order: (address: string, upstreamId: string, order: VersionOrder) => Promise<OrderAnswer>;
	/** Waits for events after `since`. */
	readonly pollParts: (address: string, since: number, waitMs: number) => Promise<PartNews>;
	/** Lists the whole parts held, as additions. */
	readonly listParts: (address: string) => Promise<PartNews>;
	/** Frees parts, unless the store has restarted since `epoch`. */
	readonly freeParts: (address: string, epoch: number, parts: ReadonlyArray<{readonly scope: string; readonly part: string}>) => Promise<boolean>;
	/** Whether an address takes connections. Never throws. */
	readonly isUp: (address: string) => Promise<boolean>;
	readonly stop: () => Promise<void>;
};
