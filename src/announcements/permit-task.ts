import {type PermitRequest} from './permit-request.js';
import {type PermitResult} from './permit-result.js';

/** Permits for requests to upstreams that state a limit. */
export type PermitTask = {
	/** Returns whether a request may be sent to an upstream now; if not, the upstream is closed to this host for a time. */
	readonly acquire: (upstreamId: string, requestId: string) => Promise<boolean>;
	/**
	Counts a control call that is sent in any case.

	@returns The time in milliseconds that the limit leaves between two such calls; 0 without a limit.
	*/
	readonly charge: (upstreamId: string) => number;
	/** Answers another host's request for a permit. */
	readonly answer: (request: PermitRequest) => PermitResult;
};
