import {type FairQueueItem} from '../fairness/fair-queue-item.js';

/** A receiving host's request for a slot of an engine. */
export type SlotRequest = FairQueueItem & {
	readonly engine: string;
	/** Receiving host. */
	readonly host: string;
	/** Prompt tokens that the engine will have to compute, as the receiving host expects. */
	readonly prefillTokens: number;
	/** Time left to the request's deadline, in milliseconds. */
	readonly leftMs: number;
	/** Keys of the prompt's pieces, for the count of those that the engine still caches. */
	readonly keys: readonly string[];
	/** Wants the engine for itself alone, for a request that may crash it. */
	readonly alone: boolean;
	/** Resumes a broken stream; goes before new work. */
	readonly resumed: boolean;
};
