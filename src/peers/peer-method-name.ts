import {type PeerMethods} from './peer-methods.js';

/** Name of a method between hosts. */
export type PeerMethodName = keyof PeerMethods;
