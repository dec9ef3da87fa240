import {findPermitIssuer} from '../decide/announcements/find-permit-issuer.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type KnownHost} from '../reports/known-host.js';

/** What the choice of issuers rests on. */
type IssuerFinderOptions = {
	/** Name and failure domain of this host. */
	readonly self: {readonly host: string; readonly domain: string};
	/** Returns the other hosts that have reported within the last minute. */
	readonly listHeard: () => readonly KnownHost[];
	/** Returns those with a recent report. */
	readonly alive: () => readonly KnownHost[];
};

/** Creates the function that finds the host to ask before a request is sent to an upstream, and the share that it may issue. */
export function createIssuerFinder({self, listHeard, alive}: IssuerFinderOptions) {
	return (upstream: Upstream): ReturnType<typeof findPermitIssuer> => {
		const aliveNames = new Set(alive().map(({host}) => host));
		const others = listHeard().map(({host, domain}) => ({host, domain, isAlive: aliveNames.has(host)}));
		return findPermitIssuer(upstream, [...others, {...self, isAlive: true}]);
	};
}
