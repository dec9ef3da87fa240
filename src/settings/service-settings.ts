import {type z} from 'zod';
import {type serviceSchema} from './service-schema.js';

/** A service as its file describes it. */
export type ServiceSettings = z.infer<typeof serviceSchema>;
