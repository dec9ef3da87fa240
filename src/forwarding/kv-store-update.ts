import {type KvEventBatch} from './kv-event-batch.js';

/** What the host that polls a store of kept context passes on to the others. */
export type KvStoreUpdate = {
	readonly store: string;
	/** Address for calls of the host that polls. */
	readonly peers: string;
	/** Number of the event from which `news` goes on. */
	readonly since: number;
	/** `undefined` where the store does not answer. */
	readonly news: KvEventBatch | undefined;
};
