import {type UpstreamView} from '../decide/forwarding/upstream-view.js';
import {type LoadSource} from './load-source.js';
import {type UpstreamLoad} from './upstream-load.js';
import {type RunningSend} from './running-send.js';
import {type AnswerListener} from './answer-listener.js';
import {type UpstreamMessage} from './upstream-message.js';
import {type Upstream} from './upstream.js';
import {type SendSize} from './send-size.js';

/** What is known of the upstreams, and the connections to them. */
export type UpstreamBook = {
	/** Takes the list of registered upstreams. */
	readonly apply: (upstreams: readonly Upstream[]) => void;
	/** Lists the upstreams of a service that take new work, as seen at `now` by a request of a rank. */
	readonly views: (service: string, now: number, urgency: number) => readonly UpstreamView[];
	/** Sends a request and counts it as in flight until it ends. */
	readonly send: (id: string, message: UpstreamMessage, size: SendSize, listener: AnswerListener) => RunningSend;
	/** Notes that an upstream should get no new work for a while. */
	readonly avoid: (id: string, untilMs: number) => void;
	/** Notes that no connection to an upstream came about. */
	readonly noteUnreached: (id: string) => void;
	/** Notes the weights that an upstream was found to have. */
	readonly noteWeights: (id: string, model: string, version: number) => void;
	/** Requests of all hosts in flight, as far as known. */
	readonly inFlight: (id: string) => number;
	readonly get: (id: string) => Upstream | undefined;
	readonly all: () => readonly Upstream[];
	/** Requests in flight and prompt tokens not yet answered, by upstream. */
	readonly loads: () => readonly UpstreamLoad[];
	/** Takes the load by another host, or by several together. */
	readonly noteLoads: (source: LoadSource, loads: readonly UpstreamLoad[], now: number) => void;
};
