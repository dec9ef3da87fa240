import {type KvEvent} from './kv-event.js';
import {type UnfinishedSave} from './unfinished-save.js';

/** The content of a KV cache store, or changes of it. */
export type KvEventBatch = {
	/** Identifies the store's current run; a restart changes it and empties the store. */
	readonly epoch: number;
	/** Event number from which the next poll continues. */
	readonly next: number;
	/** Whether the store has dropped events between the requested number and these. */
	readonly hasGap: boolean;
	/** The store's clock in milliseconds; `undefined` when the store does not report it. */
	readonly clockMs: number | undefined;
	readonly events: readonly KvEvent[];
	/** Only in a listing: parts whose saves have not ended. */
	readonly unfinished?: readonly UnfinishedSave[] | undefined;
};
