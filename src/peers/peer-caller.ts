import {type PeerMethod} from './peer-method.js';
import {type PeerMethods} from './peer-methods.js';

/** How a call to a peer is sent. */
export type PeerCallOptions = {
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
};

/**
Calls a method of the peer at `address` (`IP:PORT`).
@throws {Refusal} The peer's own refusal.
@throws {PeerUnreachableError} When no answer came.
*/
export type PeerCaller = <M extends PeerMethod>(
	address: string,
	method: M,
	params: PeerMethods[M]['params'],
	options?: PeerCallOptions,
) => Promise<PeerMethods[M]['result']>;
