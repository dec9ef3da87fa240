import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {computeSha256} from '../util/compute-sha256.js';

/** Maps a service name to the caller's workspace in that service. */
type WorkspacesByService = ReadonlyMap<string, {readonly name: string; readonly weight: number}>;

const indexes = new WeakMap<ConfigSnapshot, ReadonlyMap<string, WorkspacesByService>>();

function createIndex(snapshot: ConfigSnapshot): ReadonlyMap<string, WorkspacesByService> {
	const index = new Map<string, Map<string, {readonly name: string; readonly weight: number}>>();
	for (const {service, workspaces} of snapshot.services) {
		for (const {name, weight, keys} of workspaces) {
			for (const key of keys) {
				index.set(key, (index.get(key) ?? new Map()).set(service, {name, weight}));
			}
		}
	}

	return index;
}

/**
Returns the workspaces that a bearer key gives access to, by service name.

Only SHA-256 digests are compared, so the lookup time reveals nothing about valid keys.
@returns `undefined` for an unknown key.
*/
export function findWorkspaces(snapshot: ConfigSnapshot, authorization: string | undefined): WorkspacesByService | undefined {
	const key = /^Bearer (?<key>\S+)$/v.exec(authorization ?? '')?.groups?.key;
	if (key === undefined) {
		return undefined;
	}

	const index = indexes.get(snapshot) ?? createIndex(snapshot);
	indexes.set(snapshot, index);
	return index.get(computeSha256(key));
}
