import {type FairQueueItem} from '../decide/fairness/fair-queue-item.js';

/** What a receiving host wants a slot for. */
export type AcquireOptions = {
	readonly requestId: string;
	/** Engines with their domains, best first. */
	readonly candidates: ReadonlyArray<{readonly engine: string; readonly domain: string; readonly url: string; readonly prefillTokens: number}>;
	readonly item: Omit<FairQueueItem, 'id'>;
	readonly keys: readonly string[];
	readonly alone: boolean;
	readonly resumed: boolean;
	/** Wall-clock deadline in milliseconds. */
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};
