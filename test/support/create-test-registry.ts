import {type UpstreamConnectionPool} from '../../src/forwarding/upstream-connection-pool.js';
import {type Upstream} from '../../src/forwarding/upstream.js';
import {createUpstreamLinks} from '../../src/links/create-upstream-links.js';
import {type UpstreamPaces} from '../../src/pace/upstream-paces.js';
import {createUpstreamRegistry} from '../../src/registry/create-upstream-registry.js';
import {type UpstreamRegistry} from '../../src/registry/upstream-registry.js';

/** The upstream of a test registry. */
export const testUpstream: Upstream = {
	id: 'i-0', service: 'app', address: '127.0.0.1:1', domain: 'domain-a', slots: 1, isLeaving: false, startedAt: 1, softwareVersion: 'v1', weights: new Map(),
};

/** Creates a registry with one upstream, whose requests `send` takes. */
export function createTestRegistry(
	send: UpstreamConnectionPool['send'],
	now: () => number = () => 0,
	maxConnectionsFor: (service: string) => number = () => 4,
	paces?: UpstreamPaces,
): UpstreamRegistry {
	const links = createUpstreamLinks({
		ping: async () => true, chargeProbe: () => 0, now, random: () => 0,
	});
	links.stop();
	const registry = createUpstreamRegistry({
		now,
		links,
		maxConnectionsFor,
		paces,
		link: () => ({
			send, hasIdle: () => false, closeIdle: () => undefined, close: () => undefined,
		}),
	});
	registry.updateUpstreams([testUpstream]);
	return registry;
}
