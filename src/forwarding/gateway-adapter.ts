import {type IncomingMessage} from 'node:http';
import {type Configuration} from '../object-store/configuration.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StoreHooks} from '../object-store/store-hooks.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {type ConfigurationDetails} from '../settings/configuration-check/configuration-details.js';
import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {type CallerRequest} from './caller-request.js';
import {type EngineClient} from './engine-client.js';
import {type DesiredWeights} from './desired-weights.js';
import {type RelayedRequestOptions} from './relayed-request-options.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type ResponseHead} from './response-head.js';
import {type UpstreamConnectionPool} from './upstream-connection-pool.js';
import {type Upstream} from './upstream.js';

/** Protocols of a platform: its store, caller requests and upstream requests. There is one adapter for each platform. */
export type GatewayAdapter = {
	/** Names of the kinds of objects in the platform's store. */
	readonly kinds: {
		readonly configuration: string;
		readonly upstreams: string;
		readonly weights: string;
		readonly evacuations: string;
		readonly hosts: string;
		readonly leases: string;
		readonly streams: string;
		readonly weightAges: string;
		readonly condemnedRequests: string;
	};
	/** Opens the client of the platform's store. */
	readonly openStore: (address: string, hooks: StoreHooks) => ObjectStore;
	/** Path at which the load balancer checks whether this host accepts new connections. */
	readonly readinessPath: string;
	/** `onFault` is called for each field at fault of a configuration that is invalid, with its path in the stored object. */
	readonly decodeConfiguration: (value: unknown, onFault?: (path: readonly PropertyKey[], message: string) => void) => Configuration | undefined;
	/** Whether a JSON value is meant as a configuration, valid or not. */
	readonly isConfiguration: (value: unknown) => boolean;
	readonly describeConfiguration: (value: unknown) => ConfigurationDetails;
	/** `onFault` is called with the field at fault of an entry that is invalid. */
	readonly decodeUpstream: (object: StoredObject, onFault?: (fault: string) => void) => Upstream | undefined;
	readonly decodeWeights: (value: unknown) => Pick<DesiredWeights, 'model' | 'version'> | undefined;
	readonly decodeRequest: (req: IncomingMessage) => CallerRequest;
	readonly encodeRequest: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	readonly encodeRelayedRequest: (request: CallerRequest, options: RelayedRequestOptions) => string[];
	/** Returns names and values of the response headers by which a host tells another one what has been spent of a request's attempts. */
	readonly encodeSpentAttempts: (spent: SpentAttempts) => readonly string[];
	/** Returns the name and value of the response header that carries the request's id; empty without an id. */
	readonly createRequestIdHeaders: (request: CallerRequest) => readonly string[];
	/** Names and values of the headers by which a host tells another one that it did not run a request. */
	readonly notRunHeaders: readonly string[];
	/** `onHead` is called with the head of each response, and when its request was sent in milliseconds of the monotonic clock. */
	readonly openEngineClient: (onHead: (address: string, head: ResponseHead, askedAt: number) => void) => EngineClient;
	readonly openConnectionPool: (address: string, onConnect: () => void, onIdleEnd?: () => void) => UpstreamConnectionPool;
};
