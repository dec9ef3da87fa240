import {type ReportedLimit} from '../announcements/reported-limit.js';
import {type ReportedPace} from '../decide/pace/reported-pace.js';
import {type CrashFindings} from '../poison/crash-findings.js';
import {type SeenVersion} from '../streams/seen-version.js';
import {type UpstreamLoad} from './upstream-load.js';

/** Loads that one or several hosts put on upstreams, and their recent findings about upstreams. */
export type LoadReport = CrashFindings & {
	readonly loads: readonly UpstreamLoad[];
	/** Engines that are loading weights: id, model and version. */
	readonly loading: ReadonlyArray<readonly [string, string, number]>;
	/** Weights recently found on engines: id, model and version. */
	readonly weights: ReadonlyArray<readonly [string, string, number]>;
	/** Limits that upstreams have stated, or their ends. Hosts of an earlier build state none. */
	readonly limits?: readonly ReportedLimit[];
	/** Limits on requests in flight that follow upstreams' answers. Hosts without them, or of an earlier build, state none. */
	readonly paces?: readonly ReportedPace[] | undefined;
	/** Software versions of services with several ones. Hosts of an earlier build state none. */
	readonly versions?: readonly SeenVersion[];
};
