import {type CondemnedParts} from '../decide/poison/condemned-parts.js';
import {type CrashReport} from './crash-report.js';

/** What a host reports to others of crashes of upstreams. Hosts of an earlier build state crashes only. */
export type CrashFindings = {
	/** Recent crashes of upstreams with the requests in flight there. */
	readonly crashes: readonly CrashReport[];
	/** Suspected parts of prompts under which a request has completed. */
	readonly clearedParts?: readonly string[];
	/** Parts that are not yet in the list that hosts read when they start; `until` is in Unix milliseconds. */
	readonly condemnedParts?: readonly CondemnedParts[];
};
