import {type KvStoreIndex} from '../decide/kv-cache/kv-store-index.js';
import {type Service} from './service.js';

/** A KV cache store and its content as known to this host. */
export type KvStore = {
	readonly name: string;
	/** Settings of the store. */
	readonly store: NonNullable<Service['store']>;
	/** Index of the parts in the store. */
	readonly partIndex: KvStoreIndex;
	/** Whether the store has free space for a part of so many tokens. */
	readonly canSave: (tokens: number) => boolean;
};
