import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';

/** The other hosts, as registered in the store and as heard of. */
export type HostRegistry = {
	/** Registers this host and begins to list the others. */
	readonly start: () => void;
	/** Notes what a host says of itself. */
	readonly recordStatus: (status: HostStatus, heardAt: number) => void;
	/** Hosts that have been heard of lately. */
	readonly alive: () => readonly KnownHost[];
	/** All hosts that the store or a report has named, this one not included. */
	readonly listKnown: () => readonly KnownHost[];
	/** How many these are. */
	readonly countKnown: () => number;
	/** The same hosts, after the store was asked again. */
	readonly refreshAndList: () => Promise<readonly KnownHost[]>;
	/** Forgets hosts that have been silent for long. */
	readonly removeExpired: () => void;
	readonly stop: () => void;
};
