import {type RouteKind} from './route-kind.js';

/** A route of the operator's configuration. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Whether an interrupted stream may be resumed at another upstream after the last complete event. */
	readonly isResumable: boolean;
	/** Maximum time to the end of the response, in milliseconds. */
	readonly timeoutMs: number;
	/** Target time to the response, or to the first event of a stream, in milliseconds. */
	readonly objectiveMs: number;
	/** Priority of the requests; 0 is the highest. */
	readonly priority: number;
	/** Services that the requests are split among, by weight. */
	readonly targets: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	/** Maximum number of attempts of one request that may have run; attempts that provably did not run don't count. */
	readonly maxAttempts: number;
	/** Whether requests need no API key. */
	readonly allowsAnonymous: boolean;
};
