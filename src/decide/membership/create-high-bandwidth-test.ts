import {type HostBandwidth} from './host-bandwidth.js';

/** Hosts with at least this share of the widest link count as wide. */
const highBandwidthShare = 0.5;

/** Gives a test for hosts whose link is about as wide as the widest; these do more for the others. */
export function createHighBandwidthTest(hosts: readonly HostBandwidth[]): (host: HostBandwidth) => boolean {
	const maxLinkMbps = Math.max(...hosts.map(({linkMbps}) => linkMbps));
	return ({linkMbps}) => linkMbps >= maxLinkMbps * highBandwidthShare;
}
