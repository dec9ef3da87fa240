import {type IncomingMessage} from 'node:http';
import {type CallerRequest} from './caller-request.js';
import {type Configuration} from './configuration.js';
import {type EngineControl} from './engine-control.js';
import {type NamedWeights} from './named-weights.js';
import {type ObjectStore} from './object-store.js';
import {type SendOptions} from './send-options.js';
import {type StoredObject} from './stored-object.js';
import {type UpstreamLink} from './upstream-link.js';
import {type Upstream} from './upstream.js';

/** How the gateway meets the platform, callers and upstreams; one record for each platform. */
export type GatewayAdapter = {
	/** Names of the kinds of objects in the platform's store. */
	readonly kinds: {
		readonly configuration: string;
		readonly upstreams: string;
		readonly weights: string;
		readonly hosts: string;
		readonly leases: string;
	};
	readonly openStore: (address: string, onCall: (kind: string) => void) => ObjectStore;
	/** Path at which the balancer asks whether this host takes new connections. */
	readonly readinessPath: string;
	readonly decodeConfiguration: (value: unknown) => Configuration | undefined;
	readonly decodeUpstream: (object: StoredObject) => Upstream | undefined;
	readonly decodeWeights: (value: unknown) => Pick<NamedWeights, 'model' | 'version'> | undefined;
	readonly decodeRequest: (req: IncomingMessage) => CallerRequest;
	readonly encodeRequest: (request: CallerRequest, options: SendOptions) => string[];
	/** Header, name and value, with which answers name their request. */
	readonly nameRequest: (request: CallerRequest) => readonly string[];
	readonly openControl: () => EngineControl;
	readonly openLink: (address: string, onConnect: () => void) => UpstreamLink;
};
