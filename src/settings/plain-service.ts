import {type ServiceSettings} from './service-settings.js';

/** A plain service. */
export type PlainService = Extract<ServiceSettings, {readonly kind: 'plain'}>;
