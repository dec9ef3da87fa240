import {isWideAmong} from './is-wide-among.js';
import {type LinkedHost} from './linked-host.js';
import {rankOwners} from './rank-owners.js';

/** Ranks hosts for `key`: those with a wide link first, each kind in the order of `rankOwners`. */
export function rankWideOwners(hosts: readonly LinkedHost[], key: string): readonly string[] {
	const isWide = isWideAmong(hosts);
	const rank = (areWide: boolean): readonly string[] => rankOwners(hosts.filter(host => isWide(host) === areWide).map(({host}) => host), key);
	return [...rank(true), ...rank(false)];
}
