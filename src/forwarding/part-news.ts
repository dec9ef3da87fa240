import {type PartEvent} from './part-event.js';
import {type UnfinishedPart} from './unfinished-part.js';

/** What a store of kept context holds, or how that has changed. */
export type PartNews = {
	/** Changes when the store restarts, which empties it. */
	readonly epoch: number;
	/** Where to go on from. */
	readonly next: number;
	/** Whether events before these were dropped. */
	readonly hasGap: boolean;
	/** The store's clock in milliseconds; `undefined` where it does not give it. */
	readonly clockMs: number | undefined;
	readonly events: readonly PartEvent[];
	/** Only in a listing: parts whose saves have not ended. */
	readonly unfinished?: readonly UnfinishedPart[] | undefined;
};
