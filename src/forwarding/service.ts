/** A service of the operator's configuration: a group of upstreams, or one store of kept context. */
export type Service = {
	readonly name: string;
	/** Connections that an upstream accepts from all hosts together. */
	readonly maxConnections: number;
	/** Set where the upstreams are model engines. */
	readonly engine?: {
		readonly slots: number;
		readonly memoryTokens: number;
		readonly tokenBytes: number;
		readonly linkMbps: number;
		readonly models: readonly string[];
	};
	/** Set where the service is a store of kept context. */
	readonly store?: {
		/** `IP:PORT`. */
		readonly address: string;
		readonly domain: string;
		readonly capacityTokens: number;
		readonly linkMbps: number;
		/** Wait before each transfer, in milliseconds. */
		readonly firstMs: number;
		/** Whether the store evicts nothing by itself. */
		readonly isManaged: boolean;
	};
};
