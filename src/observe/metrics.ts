import {
	type Counter, type Gauge, type Histogram, type Registry,
} from 'prom-client';

/** Metrics of a host. */
export type Metrics = {
	readonly registry: Registry;
	/** Seconds to the first token, by service. */
	readonly firstToken: Histogram<'service'>;
	/** Prompt tokens, by service and by whether they were cached or recomputed. */
	readonly promptTokens: Counter<'service' | 'work'>;
	/** Bytes over store links, by service and direction. */
	readonly linkBytes: Counter<'service' | 'direction'>;
	/** Seconds from a slot request to its grant or refusal, by service. */
	readonly queueing: Histogram<'service'>;
	/** Refusals by error kind. */
	readonly refusals: Counter<'kind'>;
	/** Calls to the platform by kind. */
	readonly platformCalls: Counter<'kind'>;
	/** Calls to peers by method. */
	readonly peerCalls: Counter<'method'>;
	/** Bytes of calls to peers by method. */
	readonly peerBytes: Counter<'method'>;
	/** Requests refused and connections closed because of a limit on what callers take of the host, by reason. */
	readonly callerLimits: Counter<'reason'>;
	readonly peakHeldBytes: Gauge;
	readonly peakDescriptors: Gauge;
	/** Requests in flight. */
	readonly underWay: Gauge;
};
