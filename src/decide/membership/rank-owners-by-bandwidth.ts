import {createHighBandwidthPredicate} from './create-high-bandwidth-predicate.js';
import {type HostBandwidth} from './host-bandwidth.js';
import {rankOwners} from './rank-owners.js';

/** Ranks hosts as owners of `key`: hosts with high bandwidth first, each group in the order of `rankOwners`. */
export function rankOwnersByBandwidth(hosts: readonly HostBandwidth[], key: string): readonly string[] {
	const hasHighBandwidth = createHighBandwidthPredicate(hosts);
	const rankGroup = (isHighBandwidth: boolean): readonly string[] =>
		rankOwners(hosts.filter(host => hasHighBandwidth(host) === isHighBandwidth).map(({host}) => host), key);
	return [...rankGroup(true), ...rankGroup(false)];
}
