import {type KvEventBatch} from './kv-event-batch.js';

/** Position in the events of a KV cache store: the store's run and the next event number. */
export type KvEventCursor = Pick<KvEventBatch, 'epoch' | 'next'>;
