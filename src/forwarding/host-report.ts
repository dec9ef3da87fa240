import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';

/** What a host tells others several times a second, as a datagram. */
export type HostReport = HostStatus & LoadReport;
