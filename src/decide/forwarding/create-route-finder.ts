import {type Route} from '../../forwarding/route.js';
import {type RouteFinder} from './route-finder.js';

function toHostName(host: string): string {
	return host.toLowerCase().replace(/:\d+$/v, '');
}

/**
Prepares the routes of a configuration for look-ups: among the routes of a host, the longest prefix of the path wins. Load
pattern: configurations that grow by hundreds of routes, of which a request's host has a few.
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
