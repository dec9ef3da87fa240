import {type PaceReport} from './pace-report.js';

/** What hosts report to each other of the limit of one start of an upstream. */
export type ReportedPace = PaceReport & {
	/** Id of the upstream. */
	readonly id: string;
	/** Start of the upstream, in Unix milliseconds; left out where unknown. */
	readonly startedAt?: number | undefined;
};
