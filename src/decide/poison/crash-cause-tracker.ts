import {type CondemnedParts} from './condemned-parts.js';
import {type CrashedRequest} from './crashed-request.js';
import {type RefusalCause} from './refusal-cause.js';
import {type UpstreamCrash} from './upstream-crash.js';

/**
Finds out which requests, and which parts of prompts, crash the upstreams that run them, from the crashes that all hosts report. Times are in
milliseconds of one clock.
*/
export type CrashCauseTracker = {
	/** Records that a request was in flight at an upstream that crashed; returns whether that was not known. */
	readonly recordCrash: (crash: UpstreamCrash, request: CrashedRequest, now: number) => boolean;
	/** Records that a request completed; returns the suspected parts that this clears. */
	readonly recordSuccess: (request: CrashedRequest, now: number) => readonly string[];
	/** Clears parts under which another host completed a request. */
	readonly clearParts: (parts: readonly string[]) => void;
	/** Adds a request that other hosts have condemned. */
	readonly addCondemnedRequest: (digest: string, until: number) => void;
	/** Adds parts that other hosts have condemned. */
	readonly addCondemnedParts: (condemned: CondemnedParts) => void;
	/**
	Returns why a request is not to be sent; `undefined` when it may be, also once in a while to try condemned parts.

	@param hasTurn - Returns whether it is this host's turn to try condemned parts, given the name of the turn.
	*/
	readonly findCause: (request: CrashedRequest, now: number, hasTurn: (turn: string) => boolean) => RefusalCause | undefined;
	/** Returns what has been condemned since the last call, to be shared with hosts that start later. */
	readonly takeNewlyCondemned: (now: number) => {readonly digests: readonly string[]; readonly parts: readonly CondemnedParts[]};
	/** Returns whether there is nothing to compare a request with. */
	readonly isEmpty: () => boolean;
};
