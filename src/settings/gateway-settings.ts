import {type z} from 'zod';
import {type gatewaySettingsSchema} from './gateway-settings-schema.js';

/** Settings of one gateway host. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
