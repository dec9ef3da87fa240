import {type AnnouncedIn} from './announced-in.js';
import {type ReportedLimit} from './reported-limit.js';

/** One number that a start of an upstream states, as known to this host. Times are in milliseconds of the monotonic clock. */
export type StatedNumber = {
	/** Records what the head of a response states; `undefined` where it states nothing. */
	readonly record: (stated: number | undefined, announcedIn: AnnouncedIn, now: number) => void;
	/** Records what another host, or a collector for several hosts, reported. */
	readonly recordReported: (reported: ReportedLimit, source: string, now: number) => void;
	/** Returns the number in force; `undefined` without one. */
	readonly value: () => number | undefined;
	/** Returns whether the next report is to state the number or its end. */
	readonly isDue: (now: number) => boolean;
	readonly lastReportedAt: () => number;
	/** Returns the number, or its end, as it is reported to other hosts; `undefined` when the upstream never stated one. */
	readonly toReported: (now: number) => ReportedLimit | undefined;
	/** Records that a report states it. */
	readonly recordReport: (now: number) => void;
	/** Lets the next report state it again, for a host that has not heard it. */
	readonly repeat: () => void;
};
