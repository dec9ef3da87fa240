import {type HostStatus} from '../../forwarding/host-status.js';
import {isWideAmong} from './is-wide-among.js';
import {rankOf} from './rank-of.js';

type Ranked = Pick<HostStatus, 'host' | 'linkMbps'>;

/** Gives the place of a host among itself and `others` where those with a wide link come first, and each kind stands in the order of `rankOf`. */
export function rankOfWide(self: Ranked, others: readonly Ranked[], key: string): number {
	const isWide = isWideAmong([self, ...others]);
	const alike = others.filter(other => isWide(other) === isWide(self));
	return (isWide(self) ? 0 : others.length - alike.length) + rankOf(self.host, alike.map(other => other.host), key);
}
