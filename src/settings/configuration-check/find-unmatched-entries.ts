import {createRouteFinder} from '../../decide/forwarding/create-route-finder.js';
import {type CheckedConfiguration} from './checked-configuration.js';
import {type ConfigurationFinding} from './configuration-finding.js';

/** Keys that a request can carry: a header's value has no control characters and no space at its ends. */
const keyPattern = /^[\u0021-\u007E](?:[\t\u0020-\u007E]*[\u0021-\u007E])?$/v;

const toFinding = (path: ConfigurationFinding['path'], message: string): ConfigurationFinding => ({category: 'never-matches', path, message});

function findUnmatchedRoutes({routes, services}: CheckedConfiguration): readonly ConfigurationFinding[] {
	const findRoute = createRouteFinder(routes);
	const serviceNames = new Set(services.map(({name}) => name));
	return routes.flatMap((route, index) => {
		const chosen = findRoute(route.host, route.pathPrefix);
		return [
			...(chosen && chosen !== route ? [toFinding(['routes', index, 'pathPrefix'], `route ${chosen.name} has the same host and prefix and takes all requests`)] : []),
			...route.targets.flatMap(({service, weight}, target) => [
				...(serviceNames.has(service) ? [] : [toFinding(['routes', index, 'targets', target, 'service'], `there is no service ${service}`)]),
				...(weight === 0 ? [toFinding(['routes', index, 'targets', target, 'weight'], `a share of zero: no request goes to ${service}`)] : []),
			]),
		];
	});
}

function findUnmatchedServices({routes, services}: CheckedConfiguration): readonly ConfigurationFinding[] {
	const named = new Set(routes.flatMap(({targets}) => targets.map(({service}) => service)));
	// Stores of KV cache are used by upstreams of other services, not by routes.
	return services.flatMap((service, index) => named.has(service.name) || service.store ? [] : [toFinding(['services', index, 'name'], `no route names service ${service.name}`)]);
}

function findUnmatchedWorkspaces({routes, services, workspaces = []}: CheckedConfiguration): readonly ConfigurationFinding[] {
	const serviceNames = new Set(services.map(({name}) => name));
	const isServed = routes.some(({pathPrefix, targets}) => pathPrefix.startsWith('/') && targets.some(({service, weight}) => weight > 0 && serviceNames.has(service)));
	// Of several holders the gateway takes the last one.
	const holders = new Map(workspaces.flatMap((workspace, index) => workspace.keys.map(key => [key, index] as const)));
	return workspaces.flatMap(({name, keys}, index) => {
		const keyFindings = keys.flatMap((key, position) => {
			const path = ['workspaces', index, 'keys', position];
			if (!keyPattern.test(key)) {
				return [toFinding(path, 'no request can carry this key in a header')];
			}

			const holder = holders.get(key)!;
			return holder === index ? [] : [toFinding(path, `workspace ${workspaces[holder]!.name} holds this key too and gets its requests`)];
		});
		return [
			...keyFindings,
			...(keyFindings.length === keys.length ? [toFinding(['workspaces', index, 'keys'], `no request can belong to workspace ${name}: it has no key of its own`)] : []),
			...(isServed ? [] : [toFinding(['workspaces', index], `no route can use workspace ${name}: none leads to a service`)]),
		];
	});
}

/** Finds routes, shares, services, workspaces and keys of a configuration that no request can ever use. */
export function findUnmatchedEntries(configuration: CheckedConfiguration): readonly ConfigurationFinding[] {
	return [...findUnmatchedRoutes(configuration), ...findUnmatchedServices(configuration), ...findUnmatchedWorkspaces(configuration)];
}
