import {type Workspace} from '../../forwarding/workspace.js';
import {computeSha256} from '../../util/compute-sha256.js';
import {type KvSharing} from './kv-sharing.js';

/** Length of the text that identifies a set of isolated workspaces. */
const groupLength = 16;

/**
Creates the rules by which the workspaces of a configuration share KV cache. An isolated workspace has a scope of its own. The others share one that depends
on which workspaces are isolated: all that was computed in it comes from workspaces that are not isolated now, so a workspace that becomes isolated
leaves nothing within reach of others, and one that shares again finds what it shared before. A host needs only the newest configuration to know it.
A workspace that the configuration does not name any more gets a scope of its own too.

@param workspaces - Workspaces of the configuration; `undefined` if callers need no API key.
*/
export function createKvSharing(workspaces: readonly Workspace[] = []): KvSharing {
	const isolated = new Set(workspaces.filter(({isIsolated}) => isIsolated).map(({name}) => name));
	const sharing = new Set(workspaces.map(({name}) => name).filter(name => !isolated.has(name)));
	const group = isolated.size === 0 ? undefined : computeSha256(JSON.stringify([...isolated].toSorted())).slice(0, groupLength);
	return {
		group,
		scopeOf(model, version, workspace) {
			const doesShare = workspace === undefined || sharing.has(workspace);
			return {
				model, version, workspace: doesShare ? undefined : workspace, group: doesShare ? group : undefined,
			};
		},
		isInUse: scope => scope.workspace === undefined ? scope.group === group : isolated.has(scope.workspace),
	};
}
