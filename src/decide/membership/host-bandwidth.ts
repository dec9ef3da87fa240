import {type HostStatus} from '../../forwarding/host-status.js';

/** A host with the bandwidth of its own link. */
export type HostBandwidth = Pick<HostStatus, 'host' | 'linkMbps'>;
