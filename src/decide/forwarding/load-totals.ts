import {type LoadReporter} from '../../reports/load-reporter.js';
import {type UpstreamLoad} from '../../reports/upstream-load.js';
import {type UpstreamLoadTotal} from './upstream-load-total.js';

/** Totals of the other hosts' load reports, by upstream. Times are in milliseconds. */
export type LoadTotals = {
	/** Replaces the loads last reported by `source`. */
	readonly replaceLoads: (source: LoadReporter, loads: readonly UpstreamLoad[], now: number) => void;
	/** Returns the load that the other hosts put on an upstream; `undefined` where none reports any. */
	readonly of: (id: string, now: number) => Readonly<UpstreamLoadTotal> | undefined;
};
