import {type CallerResponse} from './caller-response.js';
import {type CallerRequest} from './caller-request.js';
import {type Route} from './route.js';
import {type Workspace} from './workspace.js';

/** A caller's request that has passed the checks, with its answer. Times are in milliseconds of the steady clock. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly route: Route;
	readonly workspace: Workspace | undefined;
	readonly body: Buffer | undefined;
	readonly receivedAt: number;
	/** When the caller's deadline or the route's timeout comes, whichever is first. */
	readonly endsAt: number;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
	readonly answer: CallerResponse;
};
