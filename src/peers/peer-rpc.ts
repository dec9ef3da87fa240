import {type PeerCallOptions} from './peer-call-options.js';
import {type PeerMethodName} from './peer-method-name.js';
import {type PeerMethods} from './peer-methods.js';

/**
Calls a method of the peer at `address` (`IP:PORT`).
@throws {Refusal} The peer's own refusal.
@throws {PeerUnreachableError} When no answer came.
*/
export type PeerRpc = <M extends PeerMethodName>(
	address: string,
	method: M,
	params: PeerMethods[M]['params'],
	options?: PeerCallOptions,
) => Promise<PeerMethods[M]['result']>;
