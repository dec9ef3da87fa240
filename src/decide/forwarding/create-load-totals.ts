import {type UpstreamLoad} from '../../forwarding/upstream-load.js';
import {applyLoad} from './apply-load.js';
import {type LoadTotals} from './load-totals.js';
import {type UpstreamLoadTotal} from './upstream-load-total.js';

/** Reports of other hosts count for several of their intervals, and at least for this long. */
const reportMs = 1000;
const countedReports = 3;
/** Reports that have run out are looked for this often. */
const sweepMs = 50;

/** The last report of a host. */
type Reported = {
	readonly untilMs: number;
	readonly loads: readonly UpstreamLoad[];
};

/**
Creates the sums over the hosts' last reports, by upstream. A report changes only the sums of the upstreams that it names, and
a request reads one sum an upstream, so that its cost does not grow with the hosts.
*/
export function createLoadTotals(): LoadTotals {
	const reports = new Map<string, Reported>();
	const totals = new Map<string, UpstreamLoadTotal>();
	let sweptAt = 0;

	const drop = (host: string): void => {
		for (const load of reports.get(host)?.loads ?? []) {
			applyLoad(totals, load, -1);
		}

		reports.delete(host);
	};

	return {
		replaceLoads({host, everyMs}, loads, now) {
			drop(host);
			reports.set(host, {untilMs: now + Math.max(reportMs, everyMs * countedReports), loads});
			for (const load of loads) {
				applyLoad(totals, load, 1);
			}
		},
		of(id, now) {
			if (now - sweptAt >= sweepMs) {
				sweptAt = now;
				for (const [host, {untilMs}] of reports) {
					if (now >= untilMs) {
						drop(host);
					}
				}
			}

			return totals.get(id);
		},
	};
}
