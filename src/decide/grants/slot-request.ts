import {type FairQueueItem} from '../fairness/fair-queue-item.js';

/** A receiving host's request for a slot of an engine. */
export type SlotRequest = FairQueueItem & {
	readonly engine: string;
	/** The receiving host: the host that received the caller's request and sends it to the engine. */
	readonly host: string;
	/** Prompt tokens that the engine has to compute, as estimated by the receiving host. */
	readonly prefillTokens: number;
	/** Time left to the request's deadline, in milliseconds. */
	readonly leftMs: number;
	/** Keys of the prompt's pieces, used to count those that the engine has cached. */
	readonly keys: readonly string[];
	/** Whether the request must run alone on the engine, since it may crash the engine. */
	readonly alone: boolean;
	/** Whether the request resumes a broken stream; such requests are granted before new ones. */
	readonly resumed: boolean;
};
