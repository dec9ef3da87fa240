import {type RouteKind} from './route-kind.js';

/** A route of the operator's configuration. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Whether a broken stream may go on at another upstream after the last whole event. */
	readonly isResumable: boolean;
	/** Longest time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time to the answer, or to the first event of a stream, that callers aim for, in milliseconds. */
	readonly objectiveMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** Services that take the requests, each with its share of them. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Upstreams that one request may be sent to. */
	readonly maxAttempts: number;
	readonly allowsAnonymous: boolean;
};
