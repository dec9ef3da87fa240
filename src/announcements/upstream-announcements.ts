import {type AnnouncedIn} from './announced-in.js';
import {type Announcement} from './announcement.js';
import {type ReportedLimit} from './reported-limit.js';
import {type StatedNumber} from './stated-number.js';

/** What one start of an upstream says of itself, as known to this host. Times are in milliseconds of the monotonic clock. */
export type UpstreamAnnouncements = {
	/** Records the head of a response of the upstream. */
	readonly record: (announcement: Announcement, announcedIn: AnnouncedIn, now: number) => void;
	/** Records what another host, or a collector for several hosts, reported. */
	readonly recordReported: (reported: ReportedLimit, source: string, now: number) => void;
	/** Until this start has answered, takes it to be as brittle as the other upstreams of its service. */
	readonly assumeBrittle: (turnedAwayPerS: number, now: number) => void;
	/** All that it states and hosts report to each other. */
	readonly statements: readonly StatedNumber[];
	/** Requests a second that it takes from all hosts together. */
	readonly limit: Pick<StatedNumber, 'value' | 'toReported'>;
	/** Requests a second that it can turn away without falling over. */
	readonly brittle: Pick<StatedNumber, 'value' | 'toReported'>;
	/** Whether it has said, to this host or another one, that it leaves. */
	readonly isLeaving: () => boolean;
	/** Records that the upstream wants nothing from this host until then; what it asked for before holds too. */
	readonly rest: (until: number, requestId: string | undefined, now: number) => void;
	readonly restsForMs: (now: number) => number;
	/** Closes the upstream to this host while it states the same limit, or the same number of requests that it can turn away. */
	readonly closeUntil: (kind: 'limit' | 'brittle', at: number) => void;
	/** Ends such a closing. */
	readonly reopen: (kind: 'limit' | 'brittle') => void;
	/** Returns for how long the upstream is closed to this host; 0 when it may be sent to, or a permit be asked for. */
	readonly closedForMs: (now: number) => number;
};
