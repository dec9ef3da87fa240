import {type z} from 'zod';
import {type servedVersionsSchema} from './served-versions.js';

/** A software version of a service that serves, or has served. */
export type ServedVersion = z.infer<typeof servedVersionsSchema>['versions'][number];
