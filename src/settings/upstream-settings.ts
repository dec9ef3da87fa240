import {type z} from 'zod';
import {type upstreamSchema} from './upstream-schema.js';

/** An upstream as a service file describes it. */
export type UpstreamSettings = z.infer<typeof upstreamSchema>;
