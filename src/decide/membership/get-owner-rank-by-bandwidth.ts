import {createHighBandwidthTest} from './create-high-bandwidth-test.js';
import {type HostBandwidth} from './host-bandwidth.js';
import {getOwnerRank} from './get-owner-rank.js';

/** Gives the place of a host in `rankOwnersByBandwidth` of itself and `others`, from 0, without sorting. */
export function getOwnerRankByBandwidth(self: HostBandwidth, others: readonly HostBandwidth[], key: string): number {
	const isWide = createHighBandwidthTest([self, ...others]);
	const alike = others.filter(other => isWide(other) === isWide(self));
	return (isWide(self) ? 0 : others.length - alike.length) + getOwnerRank(self.host, alike.map(other => other.host), key);
}
