import {type KvEventBatch} from '../../forwarding/kv-event-batch.js';

/** What one host knows of a store of kept context. Times are in milliseconds of a clock that counts suspensions. */
export type KvStoreIndex = {
	/** Takes the answer to a poll or a listing that was sent at `sentAt`. */
	readonly applyUpdate: (batch: KvEventBatch, sentAt: number, now: number) => void;
	/** Notes that the store gave no answer. */
	readonly invalidate: () => void;
	/** Drops parts that were freed; the store's events of it may be lost. */
	readonly removeParts: (parts: ReadonlyArray<{readonly scope: string; readonly part: string}>) => void;
	/** Where the next poll goes on from; `undefined` when the store has to be listed. */
	readonly next: () => number | undefined;
	/** Whether the store holds the whole part. */
	readonly has: (scope: string, part: string) => boolean;
	/** What has changed since a poll, as that poll's answer; `undefined` where it is not known any more. */
	readonly since: (next: number) => KvEventBatch | undefined;
	/** Store's clock until which a fetch that begins now may run; `undefined` when nothing may be fetched now. */
	readonly getFetchDeadlineMs: (now: number) => number | undefined;
	/** Whether parts may be saved now. */
	readonly canSave: (now: number) => boolean;
	/** Tokens held, as far as known. */
	readonly tokens: () => number;
	/** Store's clock at its last answer. */
	readonly clockMs: () => number | undefined;
	readonly epoch: () => number | undefined;
	/** Parts held, by scope. */
	readonly listParts: () => ReadonlyArray<{readonly scope: string; readonly part: string; readonly tokens: number}>;
};
