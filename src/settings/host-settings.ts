import {type z} from 'zod';
import {type hostSettingsSchema} from './host-settings-schema.js';

/** Settings of one host. */
export type HostSettings = z.infer<typeof hostSettingsSchema>;
