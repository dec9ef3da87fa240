import {startTestGateway, type TestGateway} from './start-test-gateway.js';
import {createObjectStoreServer} from './create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from './create-upstream-server.js';
import {platformObjects} from './platform-objects.js';
import {waitUntilReady} from './wait-until-ready.js';

/** A ready gateway host with two upstreams. */
export type GatewayWithUpstreams = {
	readonly gateway: TestGateway;
	readonly upstreams: readonly UpstreamServer[];
	readonly stop: () => Promise<void>;
};

/** Starts an object store, two upstreams and a gateway host whose retry budget does not limit the tests. */
export async function startGatewayWithUpstreams(configuration: unknown): Promise<GatewayWithUpstreams> {
	const store = await createObjectStoreServer();
	const upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer()]);
	store.put('config', 'main', configuration);
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address));
	}

	const gateway = await startTestGateway(store.address, {bounds: {retrySlack: 1000}});
	await waitUntilReady(gateway);
	return {
		gateway,
		upstreams,
		async stop() {
			await gateway.stop();
			store.stop();
			for (const upstream of upstreams) {
				upstream.stop();
			}
		},
	};
}
