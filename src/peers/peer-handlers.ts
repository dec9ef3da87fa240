import {type PeerMethodName} from './peer-method-name.js';
import {type PeerMethods} from './peer-methods.js';

/** A handler for each method. */
export type PeerHandlers = {
	readonly [M in PeerMethodName]: (params: PeerMethods[M]['params']) => Promise<PeerMethods[M]['result']>;
};
