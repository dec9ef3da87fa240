import {type KvStoreIndex} from '../decide/kept/kv-store-index.js';
import {type Service} from './service.js';

/** A store of kept context and what this host knows of it. */
export type KvStore = {
	readonly name: string;
	readonly store: NonNullable<Service['store']>;
	readonly directory: KvStoreIndex;
	readonly canSave: (tokens: number) => boolean;
};
