/** Builds object specs as the operator and the upstreams write them to the object store. */
export const platformObjects = {
	route: (changed: Record<string, unknown> = {}) => ({
		name: 'r-read', host: 'app.example', path_prefix: '/read/', kind: 'idempotent', timeout_ms: 1500, goal_ms: 200, priority: 2,
		service: 'app', max_attempts: 2, allow_anonymous: false, sticky: false, resumable: false, ...changed,
	}),
	configuration: (version: number, changed: Record<string, unknown> = {}) => ({
		version,
		routes: [
			platformObjects.route(),
			platformObjects.route({
				name: 'r-once', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 1,
			}),
			platformObjects.route({name: 'r-long', path_prefix: '/read/long/', service: 'other'}),
			platformObjects.route({
				name: 'r-stream', path_prefix: '/ask/', kind: 'streaming', resumable: true, sticky: true, timeout_ms: 5000, goal_ms: 800,
			}),
		],
		services: [
			{
				name: 'app', health_path: '/health', max_conns: 40, protocol: 'h1', tls: false,
			},
			{
				name: 'other', health_path: '/health', max_conns: 40, protocol: 'h1', tls: false,
			},
		],
		limits: {
			max_header_bytes: 8192, max_body_bytes: 100_000, header_timeout_ms: 1000, idle_timeout_ms: 2000,
		},
		tenants: [{name: 'acme', api_keys: ['key-1', 'key-2'], priority: 1}, {name: 'walled', api_keys: ['key-3'], isolated: true}],
		...changed,
	}),
	upstream: (address: string, changed: Record<string, unknown> = {}) => ({
		service: 'app', address, zone: 'domain-a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq: 1, ...changed,
	}),
};
