import {type Service} from './service.js';

/** A service that model engines run. */
export type ModelService = Extract<Service, {readonly kind: 'model'}>;
