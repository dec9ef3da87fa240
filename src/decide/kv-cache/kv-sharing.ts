import {type KvScope} from './kv-scope.js';

/** Which workspaces share KV cache, by one configuration. */
export type KvSharing = {
	/** Identifies the isolated workspaces; the others share KV cache under it. `undefined` when none is isolated. */
	readonly group: string | undefined;
	/** Returns the scope of a workspace's requests; `undefined` stands for requests without one. */
	readonly scopeOf: (model: string, version: number, workspace: string | undefined) => KvScope;
	/** Whether requests of some workspace run in the scope. */
	readonly isInUse: (scope: KvScope) => boolean;
};
