import {type GossipEntry} from '../decide/membership/gossip-entry.js';
import {type GossipTable} from '../decide/membership/gossip-table.js';
import {type Member} from '../decide/membership/member.js';
import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type Stop} from '../util/stop.js';

/** The running membership of one host. */
export type MembershipTask = {
	readonly gossip: GossipTable;
	readonly self: () => Member;
	readonly members: () => readonly Member[];
	/** Calls `listener` after every change of members. */
	readonly onChange: (listener: () => void) => void;
	/** Calls `listener` after this process was stopped for longer than the suspicion time. */
	readonly onLongPause: (listener: () => void) => void;
	/** Calls `listener` with every newly taken entry of a section. */
	readonly onEntries: (listener: (section: string, entries: readonly GossipEntry[]) => void) => void;
	/**
	Puts an entry with a version above the known one and tells the hosts of the domain at once, or those of the region.
	Ends when they have answered or their time is up.
	*/
	readonly put: (section: string, id: string, value: unknown, options?: {readonly expiresAt?: number; readonly scope?: 'domain' | 'region'}) => Promise<void>;
	readonly leave: () => void;
	readonly handlers: Pick<PeerHandlers, 'gossip.probe' | 'gossip.sync' | 'gossip.probeThrough'>;
	readonly stop: Stop;
};
