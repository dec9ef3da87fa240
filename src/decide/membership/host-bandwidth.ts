import {type HostStatus} from '../../reports/host-status.js';

/** A host with the bandwidth of its network link, in Mbit/s. */
export type HostBandwidth = Pick<HostStatus, 'host' | 'linkMbps'>;
