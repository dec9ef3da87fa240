import {type HostStatus} from './host-status.js';

/** Who has told of loads: a host of its own, or a collector of the sum of several hosts. */
export type LoadReporter = Pick<HostStatus, 'host' | 'domain' | 'everyMs'>;
