import {type Member} from '../decide/membership/member.js';

/** Resolves keys to their owners among the hosts that this host considers live; `undefined` when there is none. */
export type OwnerResolver = {
	/** Returns the owner of an engine or other resource of one failure domain. */
	readonly inDomain: (domain: string, key: string) => Member | undefined;
	/** Returns the owner of a resource that the hosts of this host's region share. */
	readonly inRegion: (key: string) => Member | undefined;
	/** Returns the owner of a resource of the whole system: rendezvous hashing selects a domain, then a host in it. */
	readonly inSystem: (key: string) => Member | undefined;
	/** Returns the live hosts, this one included. */
	readonly liveHosts: () => readonly Member[];
};
