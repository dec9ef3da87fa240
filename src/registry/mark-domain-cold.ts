import {type UpstreamRegistry} from './upstream-registry.js';

/**
Takes the upstreams of a failure domain to be cold for as long as a start of their service is. Load pattern: a domain that is put back into
service is empty, and its upstreams may have become cold shortly before.
*/
export function markDomainCold(
	registry: Pick<UpstreamRegistry, 'listAll' | 'markCold'>,
	domain: string,
	getColdStartMs: (service: string) => number | undefined,
	now: number,
): void {
	for (const upstream of registry.listAll().filter(each => each.domain === domain)) {
		registry.markCold([upstream.id], getColdStartMs(upstream.service) ?? 0, now);
	}
}
