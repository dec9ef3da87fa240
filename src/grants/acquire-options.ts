import {type FairQueueItem} from '../decide/fairness/fair-queue-item.js';

/** Describes a caller's request for which the host that received it acquires a slot. */
export type AcquireOptions = {
	readonly requestId: string;
	/** Candidate engines with their failure domains, best first; `prefillTokens` is the expected prefill on that engine. */
	readonly candidates: ReadonlyArray<{readonly engine: string; readonly domain: string; readonly url: string; readonly prefillTokens: number}>;
	readonly item: Omit<FairQueueItem, 'id'>;
	/** Keys of the prompt's pieces. */
	readonly keys: readonly string[];
	/** Whether the request must be the only one on its engine, since the request may crash the engine. */
	readonly alone: boolean;
	/** Whether the request resumes a broken stream; the owner's queue serves it before new work. */
	readonly resumed: boolean;
	/** Wall-clock deadline in milliseconds. */
	readonly deadlineAt: number;
	/** Aborts the acquisition. */
	readonly signal: AbortSignal;
};
