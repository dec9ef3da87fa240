import {type HostValue} from './host-value.js';

/** A host with its name. */
export type Member = HostValue & {readonly name: string};
