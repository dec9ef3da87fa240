import {type z} from 'zod';
import {type storeSchema} from './store-schema.js';

/** A cache store as a service file describes it. */
export type StoreSettings = z.infer<typeof storeSchema>;
