import {type HostStatus} from './host-status.js';
import {type LoadNews} from './load-news.js';

/** Makes the report to send now. */
export type MakeReport = () => LoadNews & Pick<HostStatus, 'changes' | 'weightsAgeMs' | 'isStoreLost'>;
