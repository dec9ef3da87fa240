import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type LoadReporter} from './load-reporter.js';
import {type UpstreamLoad} from './upstream-load.js';
import {type InFlightRequest} from './in-flight-request.js';
import {type ResponseListener} from './response-listener.js';
import {type UpstreamRequest} from './upstream-request.js';
import {type Upstream} from './upstream.js';
import {type RequestCost} from './request-cost.js';

/** What is known of the upstreams, and the connections to them. */
export type UpstreamRegistry = {
	/** Takes the list of registered upstreams. */
	readonly updateUpstreams: (upstreams: readonly Upstream[]) => void;
	/** Lists the upstreams of a service that take new work, as seen at `now` by a request of a rank. */
	readonly listAvailable: (service: string, now: number, priority: number) => readonly UpstreamView[];
	/** Sends a request and counts it as in flight until it ends. */
	readonly send: (id: string, request: UpstreamRequest, cost: RequestCost, listener: ResponseListener) => InFlightRequest;
	/** Notes that an upstream should get no new work for a while. */
	readonly ejectUntil: (id: string, untilMs: number) => void;
	/** Notes that no connection to an upstream came about. */
	readonly recordConnectFailure: (id: string) => void;
	/** Notes the weights that an upstream was found to have. */
	readonly recordWeights: (id: string, model: string, version: number) => void;
	/** Requests of all hosts in flight, as far as known. */
	readonly inFlight: (id: string) => number;
	readonly get: (id: string) => Upstream | undefined;
	readonly listAll: () => readonly Upstream[];
	/** Requests in flight and prompt tokens not yet answered, by upstream. */
	readonly loads: () => readonly UpstreamLoad[];
	/** Takes the load by another host, or by several together. */
	readonly recordRemoteLoads: (source: LoadReporter, loads: readonly UpstreamLoad[], now: number) => void;
};
