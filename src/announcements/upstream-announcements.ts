import {type Announcement} from './announcement.js';
import {type ReportedLimit} from './reported-limit.js';

/** The response in which an upstream said something of itself. */
type AnnouncedIn = {
	/** When its request was sent. */
	readonly askedAt: number;
	readonly requestId: string | undefined;
	/** Whether the response carries the upstream's signature. */
	readonly isSigned: boolean;
};

/** What one start of an upstream says of itself, as known to this host. Times are in milliseconds of the monotonic clock. */
export type UpstreamAnnouncements = {
	/** Records the head of a response of the upstream. */
	readonly record: (announcement: Announcement, announcedIn: AnnouncedIn, now: number) => void;
	/** Records what another host, or a collector for several hosts, reported. */
	readonly recordReported: (reported: ReportedLimit, source: string, now: number) => void;
	/** Returns the requests a second that the upstream takes from all hosts together; `undefined` without a limit. */
	readonly requestsPerS: () => number | undefined;
	/** Closes the upstream to this host while its limit stays as it is. */
	readonly closeUntil: (at: number) => void;
	/** Returns for how long the upstream is closed to this host; 0 when it may be asked for a permit, or needs none. */
	readonly closedForMs: (now: number) => number;
	/** Returns whether the next report is to state the limit or its end. */
	readonly isDue: (now: number) => boolean;
	readonly lastReportedAt: () => number;
	/** Returns the limit, or its end, as it is reported to other hosts; `undefined` when the upstream never stated one. */
	readonly toReported: (now: number) => ReportedLimit | undefined;
	/** Records that a report states it. */
	readonly recordReport: (now: number) => void;
};
