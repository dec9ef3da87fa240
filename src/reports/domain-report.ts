import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';
import {type LoadReporter} from './load-reporter.js';

/** A collector's report on the hosts of its failure domain that report to it. */
export type DomainReport = {
	/** The collector that sends the report. */
	readonly source: LoadReporter;
	/** The sum of these hosts' loads, and all weights and crashes that they reported. */
	readonly news: LoadReport;
	/** Statuses that have changed or are due to be repeated, with their age in milliseconds. */
	readonly members: ReadonlyArray<{readonly status: HostStatus; readonly ageMs: number}>;
};
