/** Returns the operator's entries of a service of engines and of a managed store that keeps their KV cache. */
export const kvStoreServices = (storeAddress: string) => [
	{
		name: 'app', health_path: '/health', max_conns: 40, protocol: 'h1', tls: false,
		engine: {
			slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 500_000, managed: true, models: [{name: 'm'}],
		},
	},
	{
		name: 'cache', kv_store_addr: storeAddress, zone: 'domain-a', kv_capacity_tokens: 20_000, link_mbps: 100_000, max_concurrent: 12, managed: true, first_ms: 0.5,
	},
] as const;
