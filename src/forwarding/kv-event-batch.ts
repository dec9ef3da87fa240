import {type KvEvent} from './kv-event.js';
import {type UnfinishedSave} from './unfinished-save.js';

/** What a store of kept context holds, or how that has changed. */
export type KvEventBatch = {
	/** Changes when the store restarts, which empties it. */
	readonly epoch: number;
	/** Where to go on from. */
	readonly next: number;
	/** Whether events before these were dropped. */
	readonly hasGap: boolean;
	/** The store's clock in milliseconds; `undefined` where it does not give it. */
	readonly clockMs: number | undefined;
	readonly events: readonly KvEvent[];
	/** Only in a listing: parts whose saves have not ended. */
	readonly unfinished?: readonly UnfinishedSave[] | undefined;
};
