import {adapter} from '../../platform/adapter.js';
import {type GatewayAdapter} from '../../src/forwarding/gateway-adapter.js';

/** Creates the adapter of a host that reaches upstreams over links; `toLink` returns the address of the link to one. */
export function createLinkedAdapter(toLink: (address: string) => string): GatewayAdapter {
	return {
		...adapter,
		openConnectionPool: (address, onConnect) => adapter.openConnectionPool(toLink(address), onConnect),
		openEngineClient() {
			const client = adapter.openEngineClient(() => undefined);
			return {
				...client,
				ping: async (address, target, timeoutMs) => client.ping(toLink(address), target, timeoutMs),
				isUp: async address => client.isUp(toLink(address)),
			};
		},
	};
}
