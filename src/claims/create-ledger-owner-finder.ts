import {findOwner} from '../decide/membership/find-owner.js';
import {type KnownHost} from '../reports/known-host.js';
import {memoizeLast} from '../util/memoize-last.js';

/** What the choice of owners rests on. */
type LedgerOwnerFinderOptions = {
	readonly self: {readonly host: string; readonly domain: string};
	/** Returns the other hosts with a recent report; the same list while they are the same. */
	readonly alive: () => readonly KnownHost[];
};

/**
Creates the function that finds the host that keeps the ledger of an upstream: one of the upstream's failure domain, or any host where none of
the domain is alive.

@returns Name of the host, and its address for datagrams; no address for this host itself.
*/
export function createLedgerOwnerFinder({self, alive}: LedgerOwnerFinderOptions) {
	const ownersOf = memoizeLast((hosts: readonly KnownHost[]) => ({
		addresses: new Map(hosts.map(({host, reports}) => [host, reports])), owners: new Map<string, string>(), all: [self, ...hosts],
	}));

	return (upstreamId: string, domain: string): {readonly host: string; readonly address: string | undefined} => {
		const {addresses, owners, all} = ownersOf(alive());
		let host = owners.get(upstreamId);
		if (host === undefined) {
			const inside = all.filter(candidate => candidate.domain === domain);
			host = findOwner((inside.length > 0 ? inside : all).map(candidate => candidate.host), upstreamId)!;
			owners.set(upstreamId, host);
		}

		return {host, address: addresses.get(host)};
	};
}
