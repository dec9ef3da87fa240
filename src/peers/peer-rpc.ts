import {type PeerCallOptions} from './peer-call-options.js';
import {type PeerMethodName} from './peer-method-name.js';
import {type PeerMethods} from './peer-methods.js';

/**
Calls a method of the peer at `address` (`IP:PORT`).
@throws {Refusal} When the peer refuses the call.
@throws {PeerUnreachableError} When no response arrives.
*/
export type PeerRpc = <M extends PeerMethodName>(
	address: string,
	method: M,
	params: PeerMethods[M]['params'],
	options?: PeerCallOptions,
) => Promise<PeerMethods[M]['result']>;
