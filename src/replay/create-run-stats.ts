import {type Deployment} from './deployment.js';
import {quantile} from './quantile.js';
import {type RunResult} from './run-result.js';
import {type ServingSummary} from './serving-summary.js';
import {type TraceRequest} from './trace-request.js';

/** Totals of one service, workspace or third of the trace, or of the whole run. */
type RequestTotals = {
	requests: number;
	refused: number;
	tokens: number;
	readonly firstTokenMs: number[];
};

/** Records the outcomes of the requests of a run. */
type RunStats = {
	readonly received: (request: TraceRequest) => void;
	readonly refused: (request: TraceRequest) => void;
	readonly firstTokenSent: (request: TraceRequest, firstTokenMs: number, recomputedTokens: number, promptTokens: number) => void;
	/** Records a transfer from the KV store. */
	readonly fetched: (request: TraceRequest, bytes: number) => void;
	/** Records a transfer to the KV store. */
	readonly stored: (request: TraceRequest, bytes: number) => void;
	/** Returns the result; `linkUse` and `engineUse` are shares of the time. */
	readonly result: (policy: string, linkUse: number, engineUse: number) => RunResult;
};

const bytesPerCostUnit = 1e9;
const tokensPerCostUnit = 1000;

/** Creates the statistics of one run of `durationMs`. */
export function createRunStats(deployment: Deployment, durationMs: number): RunStats {
	const services = new Map<string, RequestTotals>();
	const workspaces = new Map<string, RequestTotals>();
	const thirds = new Map<string, RequestTotals>();
	const overall: RequestTotals = {
		requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
	};
	const usageTotals = {
		recomputed: 0, prompt: 0, in: 0, out: 0, cost: 0,
	};
	const costs = new Map(deployment.services.map(service => [service.name, service.cost]));

	const getTotals = (request: TraceRequest): readonly RequestTotals[] => [...[
		[services, request.service] as const,
		[workspaces, `${request.service}/${request.workspace}`] as const,
		[thirds, String(Math.min(2, Math.floor(request.at / durationMs * 3)))] as const,
	].map(([map, key]) => {
		const totals = map.get(key) ?? {
			requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
		};
		map.set(key, totals);
		return totals;
	}), overall];

	const summarize = (map: ReadonlyMap<string, RequestTotals>): Readonly<Record<string, ServingSummary>> => Object.fromEntries([...map].map(([key, totals]) => [key, {
		requests: totals.requests,
		refused: totals.refused,
		share: totals.tokens / Math.max(1, overall.tokens),
		p95: quantile(totals.firstTokenMs.toSorted((a, b) => a - b), 0.95),
	}]));

	return {
		received(request) {
			for (const totals of getTotals(request)) {
				totals.requests++;
			}
		},
		refused(request) {
			for (const totals of getTotals(request)) {
				totals.refused++;
			}
		},
		firstTokenSent(request, firstTokenMs, recomputedTokens, promptTokens) {
			usageTotals.recomputed += recomputedTokens;
			usageTotals.prompt += promptTokens;
			usageTotals.cost += costs.get(request.service)!.recomputed * recomputedTokens / tokensPerCostUnit;
			for (const totals of getTotals(request)) {
				totals.firstTokenMs.push(firstTokenMs);
				totals.tokens += promptTokens + request.outputTokens;
			}
		},
		fetched(request, bytes) {
			usageTotals.in += bytes;
			usageTotals.cost += costs.get(request.service)!.link * bytes / bytesPerCostUnit;
		},
		stored(request, bytes) {
			usageTotals.out += bytes;
			usageTotals.cost += costs.get(request.service)!.link * bytes / bytesPerCostUnit;
		},
		result(policy, linkUse, engineUse) {
			const ascending = overall.firstTokenMs.toSorted((a, b) => a - b);
			return {
				policy,
				requests: overall.requests,
				served: ascending.length,
				refused: overall.refused,
				firstToken: {p50: quantile(ascending, 0.5), p95: quantile(ascending, 0.95), p99: quantile(ascending, 0.99)},
				recomputedShare: usageTotals.recomputed / Math.max(1, usageTotals.prompt),
				linkBytesIn: usageTotals.in,
				linkBytesOut: usageTotals.out,
				linkUse,
				engineUse,
				keptCost: usageTotals.cost / Math.max(1, ascending.length),
				goodput: overall.tokens / durationMs * 1000,
				thirds: ['0', '1', '2'].map(third => {
					const totals = thirds.get(third) ?? {
						requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
					};
					return {
						goodput: totals.tokens / durationMs * 3000,
						p95: quantile(totals.firstTokenMs.toSorted((a, b) => a - b), 0.95),
						refusedShare: totals.refused / Math.max(1, totals.requests),
					};
				}),
				services: summarize(services),
				workspaces: summarize(workspaces),
			};
		},
	};
}
