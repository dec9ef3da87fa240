import {type ServingSummary} from './serving-summary.js';

/** What a policy did with a trace. Times are in milliseconds. */
export type RunResult = {
	readonly policy: string;
	readonly requests: number;
	readonly served: number;
	readonly refused: number;
	readonly firstToken: {readonly p50: number; readonly p95: number; readonly p99: number};
	/** Share of prompt tokens that were recomputed. */
	readonly recomputedShare: number;
	readonly linkBytesIn: number;
	readonly linkBytesOut: number;
	/** Share of time that store links were busy. */
	readonly linkUse: number;
	/** Share of time that engines were prefilling. */
	readonly engineUse: number;
	/** Recomputed work and link use of a served request, by the services' own weights. */
	readonly keptCost: number;
	/** Tokens served a second. */
	readonly goodput: number;
	/** The same in each third of the trace, by the time of the request. */
	readonly thirds: ReadonlyArray<{readonly goodput: number; readonly p95: number; readonly refusedShare: number}>;
	readonly services: Readonly<Record<string, ServingSummary>>;
	readonly workspaces: Readonly<Record<string, ServingSummary>>;
};
