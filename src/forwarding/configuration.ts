import {type CallerLimits} from './caller-limits.js';
import {type Route} from './route.js';
import {type Service} from './service.js';
import {type Workspace} from './workspace.js';

/** One version of the operator's configuration. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** `undefined` if callers need no API key. */
	readonly workspaces: readonly Workspace[] | undefined;
};
