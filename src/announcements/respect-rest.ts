import {type EngineClient} from '../forwarding/engine-client.js';
import {UpstreamRestsError} from '../errors/upstream-rests-error.js';

/**
Wraps a client so that an engine that asked this host for rest gets no control call. Reports and orders throw {@link UpstreamRestsError}; an
engine that rests has answered, so a probe of it tells nothing.

@param restsForMs - Returns for how long the engine at an address wants nothing from this host.
*/
export function respectRest(client: EngineClient, restsForMs: (address: string) => number): EngineClient {
	const check = (address: string): void => {
		const restMs = restsForMs(address);
		if (restMs > 0) {
			throw new UpstreamRestsError(address, restMs);
		}
	};

	return {
		...client,
		async report(address) {
			check(address);
			return client.report(address);
		},
		async readStart(address) {
			check(address);
			return client.readStart(address);
		},
		async order(address, upstreamId, order) {
			check(address);
			return client.order(address, upstreamId, order);
		},
		ping: async (address, target, timeoutMs) => restsForMs(address) > 0 || client.ping(address, target, timeoutMs),
	};
}
