import {type PeerMethods} from './peer-methods.js';

/** Name of a JSON-RPC method between hosts. */
export type PeerMethodName = keyof PeerMethods;
