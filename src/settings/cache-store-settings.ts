import {type z} from 'zod';
import {type cacheStoreSchema} from './cache-store-schema.js';

/** A cache store as a service file describes it. */
export type CacheStoreSettings = z.infer<typeof cacheStoreSchema>;
