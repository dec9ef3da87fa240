import {type ServingSummary} from './serving-summary.js';

/** Result of replaying a trace under one policy. Times are in milliseconds. */
export type RunResult = {
	readonly policy: string;
	readonly requests: number;
	readonly served: number;
	readonly refused: number;
	/** Quantiles of the time to first token. */
	readonly firstToken: {readonly p50: number; readonly p95: number; readonly p99: number};
	/** Share of prompt tokens that were recomputed. */
	readonly recomputedShare: number;
	/** Bytes read from the KV stores. */
	readonly linkBytesIn: number;
	/** Bytes written to the KV stores. */
	readonly linkBytesOut: number;
	/** Share of the time that store links were busy, as the mean over services. */
	readonly linkUse: number;
	/** Share of the time that engines were prefilling, as the mean over engines. */
	readonly engineUse: number;
	/** Mean cost of recomputed tokens and link transfers per served request, by the services' cost weights. */
	readonly keptCost: number;
	/** Prompt and output tokens served per second. */
	readonly goodput: number;
	/** Measures of each third of the trace, by arrival time of the requests. */
	readonly thirds: ReadonlyArray<{readonly goodput: number; readonly p95: number; readonly refusedShare: number}>;
	readonly services: Readonly<Record<string, ServingSummary>>;
	readonly workspaces: Readonly<Record<string, ServingSummary>>;
};
