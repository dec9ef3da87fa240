import {Refusal} from '../../errors/refusal.js';
import {type CallerRequest} from '../../forwarding/caller-request.js';
import {type IndexedConfiguration} from '../../forwarding/indexed-configuration.js';
import {type Route} from '../../forwarding/route.js';
import {type Workspace} from '../../forwarding/workspace.js';

/** The route and the workspace that a request was let in by. */
type AuthorizedRequest = {
	readonly route: Route;
	readonly workspace: Workspace | undefined;
};

const requestIdPattern = /^[\u0021-\u007E]{1,128}$/v;
const targetPattern = /^\/[\u0021-\u007E\u0080-\u00FF]*$/v;

/**
Lets a request in by the configuration in force.

@throws {Refusal} When it is malformed, has no route, or its key is not known.
*/
export function authorizeRequest(request: CallerRequest, {findRoute, configuration, workspaceByKey}: IndexedConfiguration): AuthorizedRequest {
	if (request.id === undefined || !requestIdPattern.test(request.id)) {
		throw new Refusal('bad-request', 'the request has no usable id', 'no');
	}

	if (!targetPattern.test(request.target)) {
		throw new Refusal('bad-request', 'the target is not a path', 'no');
	}

	const route = findRoute(request.host, request.target.split('?', 1)[0]!);
	if (!route) {
		throw new Refusal('unknown-route', 'no route leads there', 'no');
	}

	const workspace = request.key === undefined ? undefined : workspaceByKey.get(request.key);
	if (configuration.workspaces && !workspace && !route.isAnonymous) {
		throw new Refusal('unauthorized', 'the key is not known', 'no');
	}

	return {route, workspace};
}
