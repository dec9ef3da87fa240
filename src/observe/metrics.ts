import {
	type Counter, type Gauge, type Histogram, type Registry,
} from 'prom-client';

/** The measures that a host keeps. */
export type Metrics = {
	readonly registry: Registry;
	/** Seconds to the first token, by service. */
	readonly firstToken: Histogram<'service'>;
	/** Prompt tokens, by service and by whether they were recomputed. */
	readonly promptTokens: Counter<'service' | 'work'>;
	/** Bytes over store links, by service and direction. */
	readonly linkBytes: Counter<'service' | 'direction'>;
	/** Seconds from a grant's request to its answer, by service. */
	readonly queueing: Histogram<'service'>;
	/** Refusals by error kind. */
	readonly refusals: Counter<'kind'>;
	/** Calls of the platform by kind. */
	readonly platformCalls: Counter<'kind'>;
	/** Calls to peers by method. */
	readonly peerCalls: Counter<'method'>;
	/** Bytes to peers by method. */
	readonly peerBytes: Counter<'method'>;
	/** Requests under way. */
	readonly underWay: Gauge;
};
