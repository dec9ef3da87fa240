import {type HostReport} from '../../forwarding/host-report.js';
import {type UpstreamTotal} from './upstream-total.js';

/** Sums over the other hosts' reports. Times are in milliseconds. */
export type LoadTotals = {
	/** Takes a host's report in place of its last one. */
	readonly take: (report: Pick<HostReport, 'host' | 'loads' | 'everyMs'>, now: number) => void;
	/** Load of one upstream by the other hosts; `undefined` where none reports any. */
	readonly of: (id: string, now: number) => Readonly<UpstreamTotal> | undefined;
};
