import {type Member} from '../decide/membership/member.js';

/** Who owns what, as this host sees it. `undefined` when no host is up. */
export type OwnerResolver = {
	/** Owner of an engine or other thing of one failure domain. */
	readonly inDomain: (domain: string, key: string) => Member | undefined;
	/** Owner of a thing that hosts of one region share. */
	readonly inRegion: (key: string) => Member | undefined;
	/** Owner of a thing of the whole system: a domain by rendezvous, then a host in it. */
	readonly inSystem: (key: string) => Member | undefined;
	/** Hosts that are up, with this one. */
	readonly liveHosts: () => readonly Member[];
};
