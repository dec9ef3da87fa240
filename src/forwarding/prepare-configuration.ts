import {createRouteFinder} from '../decide/forwarding/find-route.js';
import {type Configuration} from './configuration.js';
import {type GatewayState} from './gateway-state.js';

/** Prepares a configuration for look-ups. */
export function prepareConfiguration(configuration: Configuration): GatewayState {
	return {
		configuration,
		findRoute: createRouteFinder(configuration.routes),
		workspaceOf: new Map(configuration.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const))),
	};
}
