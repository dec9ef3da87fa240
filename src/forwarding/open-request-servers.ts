import {type CallerLoadLimits} from '../callers/caller-load-limits.js';
import {type Refusal} from '../errors/refusal.js';
import {type IndexedConfiguration} from '../object-store/indexed-configuration.js';
import {type GatewaySettings} from '../settings/gateway-settings.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createGatewayCallerServer} from './create-gateway-caller-server.js';
import {type GatewayAdapter} from './gateway-adapter.js';

/** Requests that this host has under way on behalf of others; they take a part of its memory and descriptors only. */
const maxRelayedInFlight = 384;

/** Options of `openRequestServers`. */
type RequestServersOptions = {
	readonly settings: Pick<GatewaySettings, 'callers' | 'reports'>;
	readonly adapter: Pick<GatewayAdapter, 'decodeRequest' | 'createRequestIdHeaders' | 'notRunHeaders' | 'encodeSpentAttempts'>;
	readonly state: () => IndexedConfiguration | undefined;
	readonly forward: (admitted: AdmittedRequest) => Promise<void>;
	/** Returns whether an IP address is that of another host of the system. */
	readonly isKnownHost: (ip: string) => boolean;
	readonly load: CallerLoadLimits;
	readonly connections: {readonly callers: number; readonly relayed: number};
	readonly now: () => number;
	readonly onRefusal: (refusal: Refusal) => void;
};

/** Opens the server for callers, and that for requests that other hosts hand on, over TCP at the address of reports. */
export async function openRequestServers({settings, adapter, state, forward, isKnownHost, load, connections, now, onRefusal}: RequestServersOptions) {
	const createIdHeaders = (request: CallerRequest | undefined): readonly string[] => request ? adapter.createRequestIdHeaders(request) : [];
	const shared = {
		state, decode: adapter.decodeRequest, encodeSpentAttempts: adapter.encodeSpentAttempts, forward, load, now, onRefusal,
	};
	const callers = await createGatewayCallerServer({
		...shared, address: settings.callers, createRefusalHeaders: createIdHeaders, isRelay: false, acceptsFrom: () => true, maxInFlight: Number.POSITIVE_INFINITY,
		maxConnections: connections.callers,
	});
	const relayed = await createGatewayCallerServer({
		...shared,
		address: settings.reports,
		createRefusalHeaders: (request, {ran}) => [...createIdHeaders(request), ...(ran === 'no' ? adapter.notRunHeaders : [])],
		isRelay: true,
		acceptsFrom: isKnownHost,
		maxInFlight: maxRelayedInFlight,
		maxConnections: connections.relayed,
	});
	const both = [callers, relayed] as const;
	return {
		callers,
		relayed,
		/** Both servers, as a drain needs them. */
		requests: {
			drain(acceptAllUntil: number, stopAt: number) {
				for (const server of both) {
					server.drain(acceptAllUntil, stopAt);
				}
			},
			underWay: () => callers.underWay() + relayed.underWay(),
			closeIdleConnections() {
				for (const server of both) {
					server.closeIdleConnections();
				}
			},
		},
	};
}
