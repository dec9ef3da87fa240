import {type KvEventBatch} from '../../forwarding/kv-event-batch.js';

/**
Index of the parts in a KV store, as known to this host. Times are in milliseconds of the host's own clocks: `heldNow` of the one for its
own rights, here to fetch, `waitNow` of the one for waits for others (`Clocks`).
*/
export type KvStoreIndex = {
	/** Applies the response to a poll or a listing that was requested at `sentAt`, by the clock for the host's own rights. */
	readonly applyUpdate: (batch: KvEventBatch, sentAt: number, waitNow: number) => void;
	/** Clears the index, after the store has not responded or before a full listing is applied. */
	readonly invalidate: () => void;
	/** Removes parts that were freed, since the store's events about their removal may be lost. */
	readonly removeParts: (parts: ReadonlyArray<{readonly scope: string; readonly part: string}>) => void;
	/** Returns the position in the store's events from which the next poll continues; `undefined` when the store has to be listed. */
	readonly next: () => number | undefined;
	/** Returns whether the store holds the complete part. */
	readonly has: (scope: string, part: string) => boolean;
	/** Returns all changes after position `next`, in the form of one poll response; `undefined` when they are no longer kept. */
	readonly since: (next: number) => KvEventBatch | undefined;
	/** Returns the time by the store's clock at which a fetch that starts now must end; `undefined` when nothing may be fetched now. */
	readonly getFetchDeadlineMs: (heldNow: number) => number | undefined;
	/** Returns whether parts may be saved now. */
	readonly canSave: (waitNow: number) => boolean;
	/** Returns the number of tokens in the store, as far as known. */
	readonly tokens: () => number;
	/** Returns the store's clock at its last response. */
	readonly clockMs: () => number | undefined;
	/** Returns the store's epoch, which changes when the store restarts. */
	readonly epoch: () => number | undefined;
	/** Returns all parts in the store. */
	readonly listParts: () => ReadonlyArray<{readonly scope: string; readonly part: string; readonly tokens: number}>;
};
