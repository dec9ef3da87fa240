import {type HostStatus} from './host-status.js';

/** Sender of a load report: a host for itself, or a collector for several hosts. */
export type LoadReporter = Pick<HostStatus, 'host' | 'domain' | 'everyMs'>;
