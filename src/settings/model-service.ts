import {type ServiceSettings} from './service-settings.js';

/** A service that model engines run. */
export type ModelService = Extract<ServiceSettings, {readonly kind: 'model'}>;
