import {type Route} from '../../forwarding/route.js';
import {type RouteFinder} from './route-finder.js';
import {toHostName} from './to-host-name.js';

/**
Creates the look-up of a configuration's routes, indexed by host name. Among the routes of a host, the one with the longest matching path
prefix is chosen. Load pattern: configurations with hundreds of routes, only a few of them for the host of a request.
*/
export function createRouteFinder(routes: readonly Route[]): RouteFinder {
	const byHost = new Map<string, Route[]>();
	for (const route of routes) {
		const host = toHostName(route.host);
		byHost.set(host, [...byHost.get(host) ?? [], route]);
	}

	for (const [host, list] of byHost) {
		byHost.set(host, list.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length));
	}

	return (host, path) => byHost.get(toHostName(host))?.find(route => path.startsWith(route.pathPrefix));
}
