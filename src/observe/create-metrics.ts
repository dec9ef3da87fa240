import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {programErrorsTotal} from './program-errors-total.js';
import {type Metrics} from './metrics.js';

const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10, 30];

/** Creates the metrics of one host in their own registry. */
export function createMetrics(): Metrics {
	const registry = new Registry();
	registry.registerMetric(programErrorsTotal);
	const registers = [registry];
	return {
		registry,
		firstToken: new Histogram({
			name: 'hemlockpier_first_token_seconds', help: 'Time to first token', labelNames: ['service'], buckets: secondsBuckets, registers,
		}),
		promptTokens: new Counter({
			name: 'hemlockpier_prompt_tokens_total', help: 'Prompt tokens by work: cached, fetched or recomputed', labelNames: ['service', 'work'], registers,
		}),
		linkBytes: new Counter({
			name: 'hemlockpier_link_bytes_total', help: 'Bytes over store links', labelNames: ['service', 'direction'], registers,
		}),
		queueing: new Histogram({
			name: 'hemlockpier_queueing_seconds', help: 'Time from asking for a grant to its answer', labelNames: ['service'], buckets: secondsBuckets, registers,
		}),
		refusals: new Counter({
			name: 'hemlockpier_refusals_total', help: 'Refusals by error kind', labelNames: ['kind'], registers,
		}),
		platformCalls: new Counter({
			name: 'hemlockpier_platform_calls_total', help: 'Calls of the platform by kind', labelNames: ['kind'], registers,
		}),
		peerCalls: new Counter({
			name: 'hemlockpier_peer_calls_total', help: 'Calls to peers by method', labelNames: ['method'], registers,
		}),
		peerBytes: new Counter({
			name: 'hemlockpier_peer_bytes_total', help: 'Bytes of calls to peers by method', labelNames: ['method'], registers,
		}),
		callerLimits: new Counter({
			name: 'hemlockpier_caller_limits_total', help: 'Requests refused and connections closed because of a limit on what callers take of the host, by reason', labelNames: ['reason'], registers,
		}),
		peakHeldBytes: new Gauge({name: 'hemlockpier_peak_held_bytes', help: 'Most bytes that bodies of requests have held at once', registers}),
		peakDescriptors: new Gauge({name: 'hemlockpier_peak_descriptors', help: 'Most file descriptors that were open, of samples', registers}),
		underWay: new Gauge({name: 'hemlockpier_requests_under_way', help: 'Requests under way', registers}),
	};
}
