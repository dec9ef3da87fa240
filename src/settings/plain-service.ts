import {type Service} from './service.js';

/** A plain service. */
export type PlainService = Extract<Service, {readonly kind: 'plain'}>;
