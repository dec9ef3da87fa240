import {createPermitBucket} from '../decide/announcements/create-permit-bucket.js';
import {type PermitResult} from './permit-result.js';

/** Permits of an upstream for which no host has asked for this long are forgotten. */
const expireAfterMs = 60_000;

/** Issues the permits for the upstreams that other hosts and this one ask for. */
type PermitIssuer = {
	/** Grants a host a permit if one is due, at a rate in requests a second. */
	readonly take: (upstream: string, host: string, requestsPerS: number) => PermitResult;
	/** Counts a request to an upstream that a host sends in any case. */
	readonly charge: (upstream: string, requestsPerS: number) => void;
};

/** Creates the issuer. A host that has just begun to issue the permits of an upstream has none at first. */
export function createPermitIssuer(now: () => number, random: () => number, maxBurst?: number): PermitIssuer {
	const buckets = new Map<string, {readonly bucket: ReturnType<typeof createPermitBucket>; usedAt: number}>();

	const removeExpired = (): void => {
		for (const [upstream, {usedAt}] of buckets) {
			if (now() - usedAt > expireAfterMs) {
				buckets.delete(upstream);
			}
		}
	};

	const find = (upstream: string) => {
		const known = buckets.get(upstream);
		if (known) {
			known.usedAt = now();
			return known.bucket;
		}

		removeExpired();
		const bucket = createPermitBucket(random, maxBurst);
		buckets.set(upstream, {bucket, usedAt: now()});
		return bucket;
	};

	return {
		take: (upstream, host, requestsPerS) => find(upstream).take(host, requestsPerS, now()),
		charge(upstream, requestsPerS) {
			find(upstream).charge(requestsPerS, now());
		},
	};
}
