import {type GossipEntry} from './gossip-entry.js';
import {type Member} from './member.js';
import {type MembershipAction} from './membership-action.js';

/** The membership protocol as run by one host. Times are in milliseconds. */
export type Membership = {
	/** Called once a second: picks hosts to probe, declares suspects dead after the timeout and detects a pause of this process. */
	readonly tick: (now: number) => readonly MembershipAction[];
	/** Handles a direct probe that was not answered. */
	readonly onProbeFailed: (name: string, now: number) => readonly MembershipAction[];
	/** Handles a probe that was answered neither directly nor through helpers. */
	readonly onUnreachable: (name: string, now: number) => readonly MembershipAction[];
	/** Handles an answered probe; restarts a suspect's timeout. */
	readonly onAnswered: (name: string, now: number) => readonly MembershipAction[];
	/** Merges gossip entries received from a peer; refutes a wrong state of this host. */
	readonly onEntries: (section: string, entries: readonly GossipEntry[], now: number) => readonly MembershipAction[];
	/** Marks this host as leaving; it still answers probes but no longer owns anything. */
	readonly leave: (now: number) => readonly MembershipAction[];
	/** Marks this host as having left. */
	readonly left: (now: number) => void;
	/** Returns all known hosts, including dead ones, sorted by name. */
	readonly members: (now: number) => readonly Member[];
	/** Returns this host with its current incarnation and state. */
	readonly self: () => Member;
};
