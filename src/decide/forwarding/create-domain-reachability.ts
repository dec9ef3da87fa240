import {type DomainReachability} from './domain-reachability.js';

/** Upstreams of a failure domain that can't be reached, with nothing heard from there, before all of it counts as cut off. */
const unreachedUpstreams = 2;
/** After this long without another failure its upstreams are tried again. */
const validMs = 2000;

/**
Creates the register of failure domains that are cut off from this host. Load pattern: a failure domain is partitioned from the
others while callers still reach it, and each connection to the other side hangs until its time-out; without the register each
upstream there is found out by requests of its own, again and again.
*/
export function createDomainReachability(): DomainReachability {
	const unreached = new Map<string, {readonly upstreams: Set<string>; at: number}>();

	return {
		recordContact(domain) {
			unreached.delete(domain);
		},
		recordConnectFailure(domain, upstream, now) {
			const known = unreached.get(domain);
			const failures = known && now - known.at <= validMs ? known : {upstreams: new Set<string>(), at: now};
			failures.upstreams.add(upstream);
			failures.at = now;
			unreached.set(domain, failures);
		},
		isPartitioned(domain, now) {
			const failures = unreached.get(domain);
			return failures !== undefined && failures.upstreams.size >= unreachedUpstreams && now - failures.at <= validMs;
		},
	};
}
