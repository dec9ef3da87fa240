import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';

/** Makes the report to send now. */
export type ReportFactory = () => LoadReport & Pick<HostStatus, 'changes' | 'weightsAgeMs' | 'isStoreLost'>;
