import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';

/** Registry of the other hosts, from their entries in the store and their reports. */
export type HostRegistry = {
	/** Registers this host in the store and starts to list the others. */
	readonly start: () => void;
	/** Records the status of a host as received at `heardAt`. */
	readonly recordStatus: (status: HostStatus, heardAt: number) => void;
	/** Returns the hosts with a recent status; the same list while they are the same. */
	readonly alive: () => readonly KnownHost[];
	/** Returns all other hosts known from the store or a report; the same list while they are the same. */
	readonly listKnown: () => readonly KnownHost[];
	/** Returns the number of hosts that `listKnown` lists. */
	readonly countKnown: () => number;
	/** Reads the store again, then returns all other known hosts. */
	readonly refreshAndList: () => Promise<readonly KnownHost[]>;
	/** Removes hosts without a status for long. */
	readonly removeExpired: () => void;
	readonly stop: () => void;
};
