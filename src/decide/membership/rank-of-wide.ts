import {isWideAmong} from './is-wide-among.js';
import {type LinkedHost} from './linked-host.js';
import {rankOf} from './rank-of.js';

/** Gives the place of a host in `rankWideOwners` of itself and `others`, from 0, without sorting. */
export function rankOfWide(self: LinkedHost, others: readonly LinkedHost[], key: string): number {
	const isWide = isWideAmong([self, ...others]);
	const alike = others.filter(other => isWide(other) === isWide(self));
	return (isWide(self) ? 0 : others.length - alike.length) + rankOf(self.host, alike.map(other => other.host), key);
}
