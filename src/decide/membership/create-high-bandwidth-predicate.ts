import {type HostBandwidth} from './host-bandwidth.js';

/** Hosts with at least this share of the highest link bandwidth have high bandwidth. */
const highBandwidthShare = 0.5;

/**
Returns a predicate for hosts whose link bandwidth is close to the highest among `hosts`. Such hosts are preferred as owners
of shared work.
*/
export function createHighBandwidthPredicate(hosts: readonly HostBandwidth[]): (host: HostBandwidth) => boolean {
	const maxLinkMbps = Math.max(...hosts.map(({linkMbps}) => linkMbps));
	return ({linkMbps}) => linkMbps >= maxLinkMbps * highBandwidthShare;
}
