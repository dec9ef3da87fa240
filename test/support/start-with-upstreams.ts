import {createGateway, type TestGateway} from './create-gateway.js';
import {createStoreServer} from './create-store-server.js';
import {createUpstreamServer, type UpstreamServer} from './create-upstream-server.js';
import {platformObjects} from './platform-objects.js';
import {waitReady} from './wait-ready.js';

/** A host that is ready, in front of two upstreams. */
export type ServedGateway = {
	readonly gateway: TestGateway;
	readonly upstreams: readonly UpstreamServer[];
	readonly stop: () => Promise<void>;
};

/** Starts a store, two upstreams and a host that may retry as often as its tests need. */
export async function startWithUpstreams(configuration: unknown): Promise<ServedGateway> {
	const store = await createStoreServer();
	const upstreams = await Promise.all([createUpstreamServer(), createUpstreamServer()]);
	store.put('config', 'main', configuration);
	for (const [index, upstream] of upstreams.entries()) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address));
	}

	const gateway = await createGateway(store.address, {bounds: {retrySlack: 1000}});
	await waitReady(gateway);
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
