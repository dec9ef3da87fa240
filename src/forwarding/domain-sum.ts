import {type HostStatus} from './host-status.js';
import {type LoadNews} from './load-news.js';
import {type LoadSource} from './load-source.js';

/** What a collector tells of the hosts of its failure domain that report to it. */
export type DomainSum = {
	readonly source: LoadSource;
	/** The loads of these hosts added up, and all that they found out. */
	readonly news: LoadNews;
	/** Hosts whose status has changed or is due, and how old it is, in milliseconds. */
	readonly members: ReadonlyArray<{readonly status: HostStatus; readonly ageMs: number}>;
};
