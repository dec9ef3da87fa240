import {createHighBandwidthTest} from './create-high-bandwidth-test.js';
import {type HostBandwidth} from './host-bandwidth.js';
import {getOwnerRank} from './get-owner-rank.js';

/** Gives the place of a host in `rankOwnersByBandwidth` of itself and `others`, from 0, without sorting. */
export function getOwnerRankByBandwidth(self: HostBandwidth, others: readonly HostBandwidth[], key: string): number {
	const hasHighBandwidth = createHighBandwidthTest([self, ...others]);
	const sameGroup = others.filter(other => hasHighBandwidth(other) === hasHighBandwidth(self));
	return (hasHighBandwidth(self) ? 0 : others.length - sameGroup.length) + getOwnerRank(self.host, sameGroup.map(other => other.host), key);
}
