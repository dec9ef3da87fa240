import {type DomainReachability} from './domain-reachability.js';

/** A failure domain counts as partitioned once connections to this many of its upstreams have failed without any contact in between. */
const minUnreachableUpstreams = 2;
/** After this long without another failure, the upstreams of a partitioned domain are tried again. */
const failureValidMs = 2000;

/**
Creates the detector of failure domains that are partitioned from this host. Fault pattern: a network partition between failure domains
while callers still reach both sides, and each connection to the other side hangs until it times out. Without the detector, requests
would run into that time-out at each upstream of the other side separately, again and again.
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
