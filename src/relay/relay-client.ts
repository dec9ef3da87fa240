import {type InFlightRequest} from '../forwarding/in-flight-request.js';
import {type ResponseListener} from '../forwarding/response-listener.js';
import {type UpstreamRequest} from '../forwarding/upstream-request.js';
import {type KnownHost} from '../reports/known-host.js';

/** Hands requests on to other hosts, which place them and send them to upstreams. */
export type RelayClient = {
	/** Chooses a host that can reach a service, other than the excluded ones; `undefined` where there is none. */
	readonly chooseHelper: (service: string, excluded: ReadonlySet<string>) => KnownHost | undefined;
	readonly send: (helper: KnownHost, request: UpstreamRequest, listener: ResponseListener) => InFlightRequest;
	/** Records that a host could not help; it is passed over for a while. */
	readonly recordRefusal: (host: string) => void;
	readonly stop: () => void;
};
