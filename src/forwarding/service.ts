/** A service of the operator's configuration: a group of upstreams, or one KV cache store. */
export type Service = {
	readonly name: string;
	/** Connections that an upstream accepts from all hosts together. */
	readonly maxConnections: number;
	/** Target of a GET request that tells whether an upstream is up; `undefined` where the configuration names none. */
	readonly healthPath: string | undefined;
	/** How long an upstream is cold after a start, in milliseconds; left out where the configuration does not say. */
	readonly coldStartMs?: number;
	/** Requests a second that a cold upstream tolerates from all hosts together; left out where nothing limits them. */
	readonly coldPerS?: number;
	/** Set when the upstreams are model engines. */
	readonly engine?: {
		/** Requests that an engine runs at the same time. */
		readonly slots: number;
		/** KV cache memory of an engine, in tokens. */
		readonly memoryTokens: number;
		/** KV cache bytes per token. */
		readonly tokenBytes: number;
		readonly linkMbps: number;
		readonly models: readonly string[];
	};
	/** Set when the service is a KV cache store. */
	readonly store?: {
		/** `IP:PORT`. */
		readonly address: string;
		readonly domain: string;
		readonly capacityTokens: number;
		readonly linkMbps: number;
		/** Latency before each transfer starts, in milliseconds. */
		readonly firstMs: number;
		/** Whether parts are freed by the gateway; the store itself then evicts nothing. */
		readonly isManaged: boolean;
	};
};
