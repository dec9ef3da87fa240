import {type HostReport} from './host-report.js';

/** Makes the report to send now. */
export type MakeReport = () => Pick<HostReport, 'loads' | 'loading' | 'weights' | 'changes' | 'weightsAgeMs' | 'crashes' | 'isStoreLost'>;
