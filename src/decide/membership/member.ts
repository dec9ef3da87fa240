import {type HostDescriptor} from './host-descriptor.js';

/** A host with its name. */
export type Member = HostDescriptor & {readonly name: string};
