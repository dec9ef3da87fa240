import {createRouteFinder} from '../decide/forwarding/create-route-finder.js';
import {type Configuration} from './configuration.js';
import {type GatewayState} from './gateway-state.js';
import {type Route} from './route.js';

function listObjectives(routes: readonly Route[]): GatewayState['objectives'] {
	const objectives = new Map<string, Map<number, number>>();
	for (const {targets, priority, objectiveMs} of routes) {
		for (const {service} of targets) {
			const ofService = objectives.get(service) ?? new Map<number, number>();
			objectives.set(service, ofService);
			ofService.set(priority, Math.min(objectiveMs, ofService.get(priority) ?? Number.POSITIVE_INFINITY));
		}
	}

	return objectives;
}

/** Prepares a configuration for look-ups. */
export function prepareConfiguration(configuration: Configuration): GatewayState {
	return {
		configuration,
		objectives: listObjectives(configuration.routes),
		findRoute: createRouteFinder(configuration.routes),
		workspaceOf: new Map(configuration.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const))),
	};
}
