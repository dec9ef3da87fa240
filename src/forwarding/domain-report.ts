import {type HostStatus} from './host-status.js';
import {type LoadReport} from './load-report.js';
import {type LoadReporter} from './load-reporter.js';

/** What a collector tells of the hosts of its failure domain that report to it. */
export type DomainReport = {
	readonly source: LoadReporter;
	/** The loads of these hosts added up, and all that they found out. */
	readonly news: LoadReport;
	/** Hosts whose status has changed or is due, and how old it is, in milliseconds. */
	readonly members: ReadonlyArray<{readonly status: HostStatus; readonly ageMs: number}>;
};
