import {type CallerLimits} from '../forwarding/caller-limits.js';
import {type Route} from '../forwarding/route.js';
import {type Service} from '../forwarding/service.js';
import {type Workspace} from '../forwarding/workspace.js';

/** One version of the operator's configuration. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** `undefined` if callers need no API key. */
	readonly workspaces: readonly Workspace[] | undefined;
};
