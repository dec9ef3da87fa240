import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {programErrorsTotal} from '../observe/program-errors-total.js';

const secondsBuckets = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15];

/** Creates the Prometheus metrics of a gateway host. */
export function createGatewayMetrics() {
	const registry = new Registry();
	registry.registerMetric(programErrorsTotal);
	const registers = [registry];
	return {
		registry,
		requestsTotal: new Counter({
			name: 'hemlockpier_requests_total', help: 'Requests by route kind and result', labelNames: ['kind', 'result'], registers,
		}),
		requestSeconds: new Histogram({
			name: 'hemlockpier_request_seconds', help: 'Time to the end of the answer by route kind', labelNames: ['kind'], buckets: secondsBuckets, registers,
		}),
		refusalsTotal: new Counter({
			name: 'hemlockpier_refusals_total', help: 'Requests refused before they were placed, by error kind', labelNames: ['kind'], registers,
		}),
		claimsTotal: new Counter({
			name: 'hemlockpier_claims_total', help: 'Requests for which a place at an upstream was to be claimed, by outcome', labelNames: ['outcome'], registers,
		}),
		platformCallsTotal: new Counter({
			name: 'hemlockpier_platform_calls_total', help: 'Calls of the platform by method, kind of objects and what they are for', labelNames: ['method', 'kind', 'operation'], registers,
		}),
		cpuSeconds: new Counter({
			name: 'hemlockpier_cpu_seconds_total', help: 'Processor time by job, from a sample of its runs; all is that of the process', labelNames: ['job'], registers,
		}),
		connections: new Counter({
			name: 'hemlockpier_upstream_connections_total', help: 'Connections opened to upstreams', labelNames: ['service'], registers,
		}),
		weightsAge: new Gauge({
			name: 'hemlockpier_weights_age_seconds', help: 'Time since the newest desired weights of a model became the desired ones, as known here', labelNames: ['model'], registers,
		}),
		upstreamsBehind: new Gauge({
			name: 'hemlockpier_upstreams_behind', help: 'Upstreams with older weights than the desired ones, by model', labelNames: ['model'], registers,
		}),
		coldPermitsTotal: new Counter({
			name: 'hemlockpier_cold_permits_total', help: 'Requests of this host for permits to send to cold upstreams, by result', labelNames: ['result'], registers,
		}),
		coldUpstreams: new Gauge({name: 'hemlockpier_cold_upstreams', help: 'Upstreams that this host takes to be cold', registers}),
		updatePhaseSeconds: new Histogram({
			name: 'hemlockpier_weight_update_seconds',
			help: 'Time that updates of weights spend waiting for the lease, for the engine to accept the order, and for the weights',
			labelNames: ['phase'],
			buckets: secondsBuckets,
			registers,
		}),
		evacuatedDomains: new Gauge({name: 'hemlockpier_evacuated_domains', help: 'Failure domains that are out of service, as known here', registers}),
		evacuationRequests: new Counter({
			name: 'hemlockpier_evacuation_requests_total', help: 'Requests that were sent elsewhere, withdrawn or refused because of failure domains out of service', labelNames: ['result'], registers,
		}),
		limitedUpstreams: new Gauge({
			name: 'hemlockpier_limited_upstreams', help: 'Upstreams that are not warm, whose requests in flight are limited', labelNames: ['service'], registers,
		}),
		paceSetbacksTotal: new Counter({
			name: 'hemlockpier_pace_setbacks_total', help: 'Decreases of limits on requests in flight, by cause', labelNames: ['service', 'cause'], registers,
		}),
		pacedElsewhereTotal: new Counter({
			name: 'hemlockpier_paced_elsewhere_total', help: 'Choices of an upstream without room in its limit, after which another one was tried', labelNames: ['service'], registers,
		}),
		callerLimitsTotal: new Counter({
			name: 'hemlockpier_caller_limits_total', help: 'Requests refused and connections closed because of a limit on what callers take of the host, by reason', labelNames: ['reason'], registers,
		}),
		peakHeldBytes: new Gauge({name: 'hemlockpier_peak_held_bytes', help: 'Most bytes that bodies of requests have held at once', registers}),
		peakDescriptors: new Gauge({name: 'hemlockpier_peak_descriptors', help: 'Most file descriptors that were open, of samples', registers}),
		underWay: new Gauge({name: 'hemlockpier_requests_under_way', help: 'Requests under way', registers}),
	};
}
