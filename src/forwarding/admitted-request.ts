import {type AttemptTracker} from './attempt-tracker.js';
import {type CallerResponse} from './caller-response.js';
import {type CallerRequest} from './caller-request.js';
import {type PlannedStop} from './planned-stop.js';
import {type Route} from './route.js';
import {type Workspace} from './workspace.js';

/** A caller's request that has passed all checks, with the response to it. Times are in milliseconds of the monotonic clock. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly route: Route;
	readonly workspace: Workspace | undefined;
	readonly body: Buffer | undefined;
	readonly receivedAt: number;
	/** The caller's deadline or the end of the route's timeout, whichever is earlier. */
	readonly endsAt: number;
	/** Aborted when the caller disconnects before the response is complete. */
	readonly signal: AbortSignal;
	/** A planned stop of this host. */
	readonly stop: PlannedStop;
	readonly answer: CallerResponse;
	/** Whether another host has handed the request on to this one, which then hands it on to nobody. */
	readonly isRelayed: boolean;
	/** What has been spent of the request's attempts, over all hosts that it has passed. */
	readonly attempts: AttemptTracker;
};
