import {type InFlightRequest} from '../forwarding/in-flight-request.js';
import {type ResponseListener} from '../forwarding/response-listener.js';
import {type UpstreamRequest} from '../forwarding/upstream-request.js';
import {type KnownHost} from '../reports/known-host.js';

/** Which hosts a request may be handed on to; by their names. */
type HelperOptions = {
	readonly excluded: ReadonlySet<string>;
	/** Chosen only where there is no other. */
	readonly avoided: ReadonlySet<string>;
	/** Whether the request may have run already; hosts of an earlier build, which know nothing of it, are not chosen then. */
	readonly hasRun: boolean;
};

/** Hands requests on to other hosts, which place them and send them to upstreams. */
export type RelayClient = {
	/** Chooses a host that can reach a service; `undefined` where there is none. */
	readonly chooseHelper: (service: string, options: HelperOptions) => KnownHost | undefined;
	readonly send: (helper: KnownHost, request: UpstreamRequest, listener: ResponseListener) => InFlightRequest;
	/** Records that a host could not help; it is passed over for a while. */
	readonly recordRefusal: (host: string) => void;
	readonly stop: () => void;
};
