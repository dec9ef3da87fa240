import {type PeerMethod} from './peer-method.js';
import {type PeerMethods} from './peer-methods.js';

/** One handler a method. */
export type PeerHandlers = {
	readonly [M in PeerMethod]: (params: PeerMethods[M]['params']) => Promise<PeerMethods[M]['result']>;
};
