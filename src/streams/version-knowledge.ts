import {type KnownHost} from '../reports/known-host.js';

/** Tells whether this host can be sure of the versions that serve, and makes it sure. */
export type VersionKnowledge = {
	/** Whether this host knows of each version that serves. */
	readonly isInStep: () => boolean;
	/** Reads the list of upstreams from the store; returns whether the store responded within a time in milliseconds. */
	readonly confirm: (timeoutMs: number) => Promise<boolean>;
	/** Returns the hosts that were heard of late: each of them may know of a version that this host doesn't. */
	readonly listHeard: () => readonly KnownHost[];
	/** Whether so many other hosts learn of the streams that this host begins that their versions outlive it. */
	readonly canTellOthers: () => boolean;
	/** Whether this host and some other one hear each other. */
	readonly isInReach: () => boolean;
	/** Is called several times a second; a longer gap shows that this process stood still. */
	readonly tick: () => void;
};
