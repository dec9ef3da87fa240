import {type KvEventBatch} from './kv-event-batch.js';

/** Update that the host polling a KV cache store sends to the other hosts. */
export type KvStoreUpdate = {
	readonly store: string;
	/** RPC address of the polling host. */
	readonly peers: string;
	/** Event number from which `news` continues; negative when receivers must pull the content instead. */
	readonly since: number;
	/** The store's events; `undefined` when the store does not respond. */
	readonly news: KvEventBatch | undefined;
};
