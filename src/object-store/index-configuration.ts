import {createRouteFinder} from '../decide/forwarding/create-route-finder.js';
import {createKvSharing} from '../decide/kv-cache/create-kv-sharing.js';
import {type Route} from '../forwarding/route.js';
import {type Configuration} from './configuration.js';
import {type IndexedConfiguration} from './indexed-configuration.js';

function listObjectives(routes: readonly Route[]): IndexedConfiguration['objectivesByService'] {
	const objectives = new Map<string, Map<number, number>>();
	for (const {targets, priority, objectiveMs} of routes) {
		for (const {service} of targets) {
			const byPriority = objectives.get(service) ?? new Map<number, number>();
			objectives.set(service, byPriority);
			byPriority.set(priority, Math.min(objectiveMs, byPriority.get(priority) ?? Number.POSITIVE_INFINITY));
		}
	}

	return objectives;
}

/** Builds the lookup tables of a configuration. */
export function indexConfiguration(configuration: Configuration): IndexedConfiguration {
	return {
		configuration,
		objectivesByService: listObjectives(configuration.routes),
		findRoute: createRouteFinder(configuration.routes),
		kvSharing: createKvSharing(configuration.workspaces),
		workspaceByKey: new Map(configuration.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const))),
	};
}
