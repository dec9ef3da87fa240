import {type GossipEntry} from '../decide/membership/gossip-entry.js';
import {type GossipTable} from '../decide/membership/gossip-table.js';
import {type Member} from '../decide/membership/member.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';

/** The running membership protocol of one host. */
export type MembershipTask = {
	readonly gossip: GossipTable;
	/** Returns this host's own record. */
	readonly self: () => Member;
	/** Returns all known hosts, this one included, in every state. */
	readonly members: () => readonly Member[];
	/** Calls `listener` after every change of members. */
	readonly onChange: (listener: () => void) => void;
	/** Calls `listener` after this process was paused for longer than the suspicion time. */
	readonly onLongPause: (listener: () => void) => void;
	/** Calls `listener` with the entries of a section that are newer than the known ones. */
	readonly onEntries: (listener: (section: string, entries: readonly GossipEntry[]) => void) => void;
	/**
	Stores an entry under a new version and pushes it to the live hosts of the domain, or of the region.
	Resolves when each of them has responded or timed out. `expiresAt` is a wall-clock time in milliseconds.
	*/
	readonly put: (
		section: string,
		id: string,
		value: unknown,
		options?: {readonly expiresAt?: number; readonly scope?: 'domain' | 'region'},
	) => Promise<void>;
	/** Announces that this host is leaving. */
	readonly leave: () => void;
	readonly handlers: Pick<PeerHandlers, 'gossip.probe' | 'gossip.sync' | 'gossip.probeThrough'>;
	readonly stop: Stop;
};
