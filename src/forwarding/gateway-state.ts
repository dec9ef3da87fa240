import {type RouteFinder} from '../decide/forwarding/find-route.js';
import {type Configuration} from './configuration.js';
import {type Workspace} from './workspace.js';

/** The configuration in force, prepared for look-ups. */
export type GatewayState = {
	readonly configuration: Configuration;
	readonly findRoute: RouteFinder;
	readonly workspaceOf: ReadonlyMap<string, Workspace>;
};
