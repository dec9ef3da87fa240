import {type KvEventBatch} from './kv-event-batch.js';

/** How far a store of kept context is known: which life of it, and where the next poll goes on from. */
export type KvEventCursor = Pick<KvEventBatch, 'epoch' | 'next'>;
