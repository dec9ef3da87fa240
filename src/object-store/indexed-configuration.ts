import {type KvSharing} from '../decide/kv-cache/kv-sharing.js';
import {type RouteFinder} from '../decide/forwarding/route-finder.js';
import {type Workspace} from '../forwarding/workspace.js';
import {type Configuration} from './configuration.js';

/** The configuration in force, with lookup tables. */
export type IndexedConfiguration = {
	readonly configuration: Configuration;
	readonly findRoute: RouteFinder;
	/** Smallest objective of the routes to a service, by service and priority, in milliseconds. */
	readonly objectivesByService: ReadonlyMap<string, ReadonlyMap<number, number>>;
	/** Which workspaces share KV cache. */
	readonly kvSharing: KvSharing;
	readonly workspaceByKey: ReadonlyMap<string, Workspace>;
};
