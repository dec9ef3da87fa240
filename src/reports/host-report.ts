import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';

/** The report that a host sends to others several times a second, as a datagram. */
export type HostReport = HostStatus & LoadReport;
