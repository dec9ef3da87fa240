import {type PaceReport} from './pace-report.js';
import {type PaceState} from './pace-state.js';

/** Limit on the requests of all hosts in flight at one start of an upstream. Times are in milliseconds. */
export type UpstreamPace = {
	readonly state: () => PaceState;
	/** Whether the limit is below the slots. */
	readonly isLimited: () => boolean;
	/** When the limit last changed here. */
	readonly changedAt: () => number;
	/** Returns the state and what this host has seen under it. */
	readonly report: () => PaceReport;
	/**
	Records that a response head has arrived.

	@param answer.ratio - Time that it took, relative to answers of warm upstreams.
	@param answer.inFlight - Known requests in flight when the request was sent, including it.
	*/
	readonly recordAnswer: (answer: {readonly sentAt: number; readonly ratio: number; readonly inFlight: number}, now: number) => void;
	/** Records a failed request; `isLost` when no connection could be opened. */
	readonly recordFailure: (failure: {readonly sentAt: number; readonly isLost: boolean}, now: number) => void;
	/**
	Lets the limit rise after a quiet time, or fall where a request has waited for all of it.

	@param load.inFlight - Known requests in flight.
	@param load.waitingSince - When the oldest request of this host without an answer was sent.
	*/
	readonly review: (load: {readonly inFlight: number; readonly waitingSince: number | undefined}, now: number) => void;
	/** Sets the number of slots, which an entry of the same start may change. */
	readonly setSlots: (slots: number) => void;
	/** Records what another host, or a collector, reported. */
	readonly recordReported: (source: string, report: PaceReport, now: number) => void;
};
