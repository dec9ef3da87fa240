import {createKvSharing} from '../../src/decide/kv-cache/create-kv-sharing.js';
import {formatScope} from '../../src/decide/kv-cache/format-scope.js';

/** Returns the scope that is shared at a version of the weights while the workspace `walled` is isolated, as it is by `platformObjects`. */
export function getSharedScope(version: number): string {
	const sharing = createKvSharing([{
		name: 'walled', keys: [], priority: undefined, isIsolated: true,
	}]);
	return formatScope(sharing.scopeOf('m', version, undefined));
}
