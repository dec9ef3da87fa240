import {findOwner} from '../membership/find-owner.js';

/** A host that may issue permits. */
type IssuerCandidate = {
	readonly host: string;
	readonly domain: string;
	readonly isAlive: boolean;
};

/** The host to ask for permits, and the share of the limit that it may issue if it knows the hosts as this one does. */
type PermitIssuer = {
	readonly host: string;
	/** From 0 to 1. */
	readonly share: number;
};

/** What hosts outside the upstream's failure domain issue while they hear none of the hosts inside. */
const outsideShare = 0.25;

/** Returns 1 for a majority, else the part that is alive. */
function getShare(candidates: readonly IssuerCandidate[]): number {
	const alive = candidates.filter(({isAlive}) => isAlive).length;
	return alive * 2 > candidates.length ? 1 : alive / candidates.length;
}

/**
Finds the host that issues the permits for an upstream: one of the upstream's failure domain, by rendezvous hashing. Fault pattern: hosts that
are cut off from each other and not from the upstream. Only a majority of a domain's hosts issues the whole limit, and a minority its part, so
all parts together stay below one and a half times the limit.

@param candidates - All hosts that have reported within the last minute or so, and this one.
*/
export function findPermitIssuer(upstream: {readonly id: string; readonly domain: string}, candidates: readonly IssuerCandidate[]): PermitIssuer {
	const inside = candidates.filter(({domain}) => domain === upstream.domain);
	const isInsideAlive = inside.some(({isAlive}) => isAlive);
	const electorate = isInsideAlive ? inside : candidates;
	const host = findOwner(electorate.filter(({isAlive}) => isAlive).map(candidate => candidate.host), upstream.id)!;
	const share = getShare(electorate);
	return {host, share: isInsideAlive || inside.length === 0 ? share : Math.min(outsideShare, share)};
}
