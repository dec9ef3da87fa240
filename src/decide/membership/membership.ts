import {type GossipEntry} from './gossip-entry.js';
import {type Member} from './member.js';
import {type MembershipAction} from './membership-action.js';

/** The decisions of one host about who is alive. */
export type Membership = {
	/** Runs once a second: picks hosts to probe, ends suspicions, notices a freeze of the own process. */
	readonly tick: (now: number) => readonly MembershipAction[];
	/** A probe was not answered directly. */
	readonly onProbeFailed: (name: string, now: number) => readonly MembershipAction[];
	/** A probe was answered neither directly nor through helpers. */
	readonly onUnreachable: (name: string, now: number) => readonly MembershipAction[];
	/** A host answered. */
	readonly onAnswered: (name: string, now: number) => readonly MembershipAction[];
	/** Entries arrived from a peer. */
	readonly onEntries: (section: string, entries: readonly GossipEntry[], now: number) => readonly MembershipAction[];
	/** The own host leaves; it keeps answering but owns nothing any more. */
	readonly leave: (now: number) => readonly MembershipAction[];
	/** The own host has left. */
	readonly left: (now: number) => void;
	/** All known hosts, the dead ones too. */
	readonly members: (now: number) => readonly Member[];
	readonly self: () => Member;
};
