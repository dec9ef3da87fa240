import {type PaceView} from '../decide/pace/pace-view.js';
import {type ReportedPace} from '../decide/pace/reported-pace.js';
import {type Upstream} from '../forwarding/upstream.js';

/** A request that was sent to an upstream. */
type TrackedRequest = {
	/** Records that a response head has arrived; `isFailure` where it says that the request failed. */
	readonly recordHead: (isFailure: boolean) => void;
	/** Records that the request failed without a complete response; `isLost` when no connection could be opened. */
	readonly recordFailure: (isLost: boolean) => void;
};

/** Limits on the requests of all hosts in flight at each upstream. */
export type UpstreamPaces = {
	/** Adds a start of an upstream; `hasStarted` unless this host has just started itself. */
	readonly add: (upstream: Upstream, hasStarted: boolean) => void;
	/** Records a changed entry of the same start. */
	readonly update: (upstream: Upstream) => void;
	readonly remove: (id: string) => void;
	/**
	Returns the limit; `undefined` where there is none.

	@param load.inFlight - Requests of all hosts in flight, as far as known.
	@param load.waitingSince - When the oldest request of this host without an answer was sent.
	@param load.isReachable - Whether this host can reach the upstream.
	*/
	readonly view: (id: string, load: {readonly inFlight: number; readonly waitingSince: number | undefined; readonly isReachable: boolean}) => PaceView | undefined;
	/** Draws whether a request placed at a limited upstream may be sent there. */
	readonly tryTake: (id: string, load: {readonly limit: number; readonly inFlight: number}) => boolean;
	/** Records a request sent, with the prediction of the time to its response head in milliseconds. */
	readonly track: (id: string, request: {readonly expectedMs: number | undefined; readonly inFlight: number}) => TrackedRequest;
	/** Returns what the next report to other hosts states; `undefined` where it is nothing. */
	readonly listReported: () => readonly ReportedPace[] | undefined;
	/** Records what another host, or a collector, reported. */
	readonly recordReported: (source: string, reported: readonly ReportedPace[]) => void;
	/** Returns the number of limited upstreams, by service. */
	readonly countLimited: () => ReadonlyMap<string, number>;
};
