import {type LoadReporter} from '../../forwarding/load-reporter.js';
import {type UpstreamLoad} from '../../forwarding/upstream-load.js';
import {type UpstreamLoadTotal} from './upstream-load-total.js';

/** Sums over the other hosts' reports. Times are in milliseconds. */
export type LoadTotals = {
	/** Takes a source's loads in place of its last ones. */
	readonly replaceLoads: (source: LoadReporter, loads: readonly UpstreamLoad[], now: number) => void;
	/** Load of one upstream by the other hosts; `undefined` where none reports any. */
	readonly of: (id: string, now: number) => Readonly<UpstreamLoadTotal> | undefined;
};
