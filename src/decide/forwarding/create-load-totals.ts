import {type UpstreamLoad} from '../../reports/upstream-load.js';
import {applyLoad} from './apply-load.js';
import {type LoadTotals} from './load-totals.js';
import {type UpstreamLoadTotal} from './upstream-load-total.js';

/** A report of another host counts for `validIntervals` of its reporting intervals, and at least for this long. */
const minValidMs = 1000;
const validIntervals = 3;
/** Expired reports are removed at most this often. */
const expiryCheckMs = 50;

/** The loads in the last report of a host. */
type HostLoads = {
	readonly validUntil: number;
	readonly loads: readonly UpstreamLoad[];
};

/**
Creates the totals of the other hosts' last reports, by upstream. A report updates only the totals of the upstreams that it names, and a
request reads one total per upstream, so its cost does not grow with the number of hosts.
*/
export function createLoadTotals(): LoadTotals {
	const reports = new Map<string, HostLoads>();
	const totals = new Map<string, UpstreamLoadTotal>();
	let expiryCheckedAt = 0;

	const removeReport = (host: string): void => {
		for (const load of reports.get(host)?.loads ?? []) {
			applyLoad(totals, load, -1);
		}

		reports.delete(host);
	};

	return {
		replaceLoads({host, everyMs}, loads, now) {
			removeReport(host);
			reports.set(host, {validUntil: now + Math.max(minValidMs, everyMs * validIntervals), loads});
			for (const load of loads) {
				applyLoad(totals, load, 1);
			}
		},
		of(id, now) {
			if (now - expiryCheckedAt >= expiryCheckMs) {
				expiryCheckedAt = now;
				for (const [host, {validUntil}] of reports) {
					if (now >= validUntil) {
						removeReport(host);
					}
				}
			}

			return totals.get(id);
		},
	};
}
