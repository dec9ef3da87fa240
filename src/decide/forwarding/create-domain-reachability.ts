import {type DomainReachability} from './domain-reachability.js';

/** Upstreams of a failure domain that can't be reached, with nothing heard from there, before all of it counts as cut off. */
const minUnreachableUpstreams = 2;
/** After this long without another failure its upstreams are tried again. */
const failureValidMs = 2000;

/**
Creates the register of failure domains that are cut off from this host. Load pattern: a failure domain is partitioned from the
others while callers still reach it, and each connection to the other side hangs until its time-out; without the register each
upstream there is found out by requests of its own, again and again.
*/
export function createDomainReachability(): DomainReachability {
	const failuresByDomain = new Map<string, {readonly upstreams: Set<string>; at: number}>();

	return {
		recordContact(domain) {
			failuresByDomain.delete(domain);
		},
		recordConnectFailure(domain, upstream, now) {
			const previous = failuresByDomain.get(domain);
			const failures = previous && now - previous.at <= failureValidMs ? previous : {upstreams: new Set<string>(), at: now};
			failures.upstreams.add(upstream);
			failures.at = now;
			failuresByDomain.set(domain, failures);
		},
		isPartitioned(domain, now) {
			const failures = failuresByDomain.get(domain);
			return failures !== undefined && failures.upstreams.size >= minUnreachableUpstreams && now - failures.at <= failureValidMs;
		},
	};
}
