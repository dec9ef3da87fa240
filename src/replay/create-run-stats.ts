import {type Deployment} from './deployment.js';
import {quantile} from './quantile.js';
import {type RunResult} from './run-result.js';
import {type ServingSummary} from './serving-summary.js';
import {type TraceRequest} from './trace-request.js';

/** Sums of one service or workspace. */
type RequestTotals = {
	requests: number;
	refused: number;
	tokens: number;
	readonly firstTokenMs: number[];
};

/** Counts what becomes of the requests of a run. */
type RunStats = {
	readonly received: (request: TraceRequest) => void;
	readonly refused: (request: TraceRequest) => void;
	readonly firstTokenSent: (request: TraceRequest, firstTokenMs: number, recomputedTokens: number, promptTokens: number) => void;
	readonly fetched: (request: TraceRequest, bytes: number) => void;
	readonly stored: (request: TraceRequest, bytes: number) => void;
	readonly result: (policy: string, linkUse: number, engineUse: number) => RunResult;
};

const bytesPerCostUnit = 1e9;
const tokensPerCostUnit = 1000;

/** Creates the count of one run. */
export function createRunStats(deployment: Deployment, durationMs: number): RunStats {
	const services = new Map<string, RequestTotals>();
	const workspaces = new Map<string, RequestTotals>();
	const thirds = new Map<string, RequestTotals>();
	const overall: RequestTotals = {
		requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
	};
	const costTotals = {
		recomputed: 0, prompt: 0, in: 0, out: 0, cost: 0,
	};
	const costs = new Map(deployment.services.map(service => [service.name, service.cost]));

	const getTotals = (request: TraceRequest): readonly RequestTotals[] => [...[
		[services, request.service] as const,
		[workspaces, `${request.service}/${request.workspace}`] as const,
		[thirds, String(Math.min(2, Math.floor(request.at / durationMs * 3)))] as const,
	].map(([map, key]) => {
		const sums = map.get(key) ?? {
			requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
		};
		map.set(key, sums);
		return sums;
	}), overall];

	const summarize = (map: ReadonlyMap<string, RequestTotals>): Readonly<Record<string, ServingSummary>> => Object.fromEntries([...map].map(([key, sums]) => [key, {
		requests: sums.requests,
		refused: sums.refused,
		share: sums.tokens / Math.max(1, overall.tokens),
		p95: quantile(sums.firstTokenMs.toSorted((a, b) => a - b), 0.95),
	}]));

	return {
		received(request) {
			for (const sums of getTotals(request)) {
				sums.requests++;
			}
		},
		refused(request) {
			for (const sums of getTotals(request)) {
				sums.refused++;
			}
		},
		firstTokenSent(request, firstTokenMs, recomputedTokens, promptTokens) {
			costTotals.recomputed += recomputedTokens;
			costTotals.prompt += promptTokens;
			costTotals.cost += costs.get(request.service)!.recomputed * recomputedTokens / tokensPerCostUnit;
			for (const sums of getTotals(request)) {
				sums.firstTokenMs.push(firstTokenMs);
				sums.tokens += promptTokens + request.outputTokens;
			}
		},
		fetched(request, bytes) {
			costTotals.in += bytes;
			costTotals.cost += costs.get(request.service)!.link * bytes / bytesPerCostUnit;
		},
		stored(request, bytes) {
			costTotals.out += bytes;
			costTotals.cost += costs.get(request.service)!.link * bytes / bytesPerCostUnit;
		},
		result(policy, linkUse, engineUse) {
			const ascending = overall.firstTokenMs.toSorted((a, b) => a - b);
			return {
				policy,
				requests: overall.requests,
				served: ascending.length,
				refused: overall.refused,
				firstToken: {p50: quantile(ascending, 0.5), p95: quantile(ascending, 0.95), p99: quantile(ascending, 0.99)},
				recomputedShare: costTotals.recomputed / Math.max(1, costTotals.prompt),
				linkBytesIn: costTotals.in,
				linkBytesOut: costTotals.out,
				linkUse,
				engineUse,
				keptCost: costTotals.cost / Math.max(1, ascending.length),
				goodput: overall.tokens / durationMs * 1000,
				thirds: ['0', '1', '2'].map(third => {
					const sums = thirds.get(third) ?? {
						requests: 0, refused: 0, tokens: 0, firstTokenMs: [],
					};
					return {
						goodput: sums.tokens / durationMs * 3000,
						p95: quantile(sums.firstTokenMs.toSorted((a, b) => a - b), 0.95),
						refusedShare: sums.refused / Math.max(1, sums.requests),
					};
				}),
				services: summarize(services),
				workspaces: summarize(workspaces),
			};
		},
	};
}
