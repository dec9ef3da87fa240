import {type ReportedColdness} from '../announcements/reported-coldness.js';
import {type ReportedLimit} from '../announcements/reported-limit.js';
import {type UpstreamAnnouncements} from '../announcements/upstream-announcements.js';
import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type LoadReporter} from '../reports/load-reporter.js';
import {type UpstreamLoad} from '../reports/upstream-load.js';
import {type InFlightRequest} from '../forwarding/in-flight-request.js';
import {type ResponseHead} from '../forwarding/response-head.js';
import {type PlacedUpstream} from '../forwarding/placed-upstream.js';
import {type ResponseListener} from '../forwarding/response-listener.js';
import {type UpstreamRequest} from '../forwarding/upstream-request.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type RequestCost} from '../forwarding/request-cost.js';
import {type ColdGate} from './cold-gate.js';
import {type UpstreamContact} from './upstream-contact.js';

/** Registry of the upstreams, with their state as known to this host and the connections to them. */
export type UpstreamRegistry = {
	/** Sets the list of registered upstreams. */
	readonly updateUpstreams: (upstreams: readonly Upstream[]) => void;
	/**
	Lists the registered upstreams of a service that are neither leaving nor in a failure domain out of service, with their state at `now` for a request of a priority; ejected and
	unresponsive ones are included.
	*/
	readonly listAvailable: (service: string, now: number, priority: number) => readonly UpstreamView[];
	/**
	Returns after what time the limit of an upstream of a service, of one software version where it is given, leaves room for this host again, in milliseconds; `undefined` when no upstream
	is closed.
	*/
	readonly closedForMs: (service: string, now: number, softwareVersion?: string) => number | undefined;
	/** Sends a request and counts it as in flight until it ends; it fails as not sent if the upstream has left or has started again, or its failure domain is out of service. */
	readonly send: (upstream: PlacedUpstream, request: UpstreamRequest, cost: RequestCost, listener: ResponseListener) => InFlightRequest;
	/** Ejects an upstream from placement until `untilMs`. */
	readonly ejectUntil: (id: string, untilMs: number) => void;
	/**
	Calls `listener` whenever the link to an upstream is found silent.

	@returns Function that removes the listener.
	*/
	readonly onSilence: (id: string, listener: () => void) => () => void;
	/** Returns how many upstreams of a service, of one software version where it is given, are neither leaving nor in a failure domain out of service, and how many of them this host can reach. */
	readonly getReach: (service: string, softwareVersion?: string) => {readonly upstreams: number; readonly reachable: number};
	/** Lists the services that have upstreams of which this host can reach none. */
	readonly listLostServices: () => readonly string[];
	/** Records a weight version found on an upstream. */
	readonly recordWeights: (id: string, model: string, version: number) => void;
	/** Returns this host's contact with an upstream, and whether an open connection to it is idle; `undefined` when it is not registered. */
	readonly contact: (id: string) => Readonly<UpstreamContact> & {readonly hasIdle: boolean} | undefined;
	/**
	Records which start an upstream has just said it is, in Unix milliseconds, `undefined` if it did not say, and when it was asked. One that the list does not show has a software
	version of its own until it does.

	@returns Whether it is the start that this host took it for.
	*/
	readonly recordStart: (id: string, startedAt: number | undefined, askedAt: number) => boolean;
	/** Returns the gate that keeps requests back while an upstream is cold; `undefined` when it is not registered. */
	readonly coldGate: (id: string) => ColdGate | undefined;
	/** Records that upstreams may be cold for this long from now on, unless a source that is asked later says otherwise. */
	readonly markCold: (ids: readonly string[], forMs: number, now: number) => void;
	/** Returns the upstreams that are taken to be cold. */
	readonly listCold: (now: number) => readonly ReportedColdness[];
	/** Records what another host takes to be cold. */
	readonly recordReportedCold: (reported: readonly ReportedColdness[], now: number) => void;
	/** Returns what an upstream says of itself; `undefined` when it is not registered. */
	readonly announcements: (id: string) => UpstreamAnnouncements | undefined;
	/** Returns all that upstreams say of themselves, as far as known to this host. */
	readonly listStatements: (now: number) => readonly ReportedLimit[];
	/** Lets the next reports to other hosts state all that upstreams say of themselves. */
	readonly repeatStatements: () => void;
	/** Returns the limits that the next report to other hosts states, and records that it does. */
	readonly takeDueLimits: (now: number) => readonly ReportedLimit[];
	/** Records the limits that another host reported. */
	readonly recordReportedLimits: (source: string, limits: readonly ReportedLimit[], now: number) => void;
	/** Returns the requests of this host in flight at an upstream. */
	readonly ownInFlight: (id: string) => number;
	/** Returns the requests of all hosts in flight at an upstream, as far as known. */
	readonly inFlight: (id: string) => number;
	/** Records what the head of a response to a control call says of the upstream at an address. */
	readonly recordControlResponse: (address: string, head: ResponseHead, askedAt: number) => void;
	/** Returns for how long the upstream at an address wants nothing from this host, in milliseconds. */
	readonly restsForMs: (address: string) => number;
	/** Returns the upstream with an id; `undefined` when it is not registered. */
	readonly get: (id: string) => Upstream | undefined;
	/** Lists all registered upstreams, including leaving ones. */
	readonly listAll: () => readonly Upstream[];
	/** Returns the load that this host puts on each upstream. */
	readonly loads: () => readonly UpstreamLoad[];
	/** Records the loads that another host, or a collector for several hosts, reported. */
	readonly recordRemoteLoads: (source: LoadReporter, loads: readonly UpstreamLoad[], now: number) => void;
};
