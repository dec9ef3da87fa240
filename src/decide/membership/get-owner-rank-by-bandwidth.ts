import {createHighBandwidthPredicate} from './create-high-bandwidth-predicate.js';
import {type HostBandwidth} from './host-bandwidth.js';
import {getOwnerRank} from './get-owner-rank.js';

/** Returns the zero-based position of `self` in `rankOwnersByBandwidth` of `self` and `others`, without sorting. */
export function getOwnerRankByBandwidth(self: HostBandwidth, others: readonly HostBandwidth[], key: string): number {
	const hasHighBandwidth = createHighBandwidthPredicate([self, ...others]);
	const sameGroup = others.filter(other => hasHighBandwidth(other) === hasHighBandwidth(self));
	return (hasHighBandwidth(self) ? 0 : others.length - sameGroup.length) + getOwnerRank(self.host, sameGroup.map(other => other.host), key);
}
