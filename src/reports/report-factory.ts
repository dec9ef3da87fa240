import {type StateStatus} from '../object-store/state-status.js';
import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';

/** Creates the current report of this host. */
export type ReportFactory = () => LoadReport & StateStatus & Pick<HostStatus, 'weightsAgeMs' | 'upstreamsAgeMs' | 'isStoreLost' | 'countsAttempts' | 'sharesKvByGroup' | 'claimsPlaces'>;
