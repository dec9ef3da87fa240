import {type ResponseListener} from './response-listener.js';
import {type InFlightRequest} from './in-flight-request.js';
import {type UpstreamRequest} from './upstream-request.js';

/** Connections to one upstream. */
export type UpstreamConnectionPool = {
	readonly send: (request: UpstreamRequest, listener: ResponseListener) => InFlightRequest;
	/** Returns whether an open connection is idle. */
	readonly hasIdle: () => boolean;
	/** Closes the idle connections, since nothing passes on them any more. */
	readonly closeIdle: () => void;
	/** Closes idle connections now and the others at the end of their requests. */
	readonly close: () => void;
};
