import {type HostStatus} from './host-status.js';

/** Another host, as it reports itself or is registered. */
export type KnownHost = Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps' | 'everyMs' | 'isStoreLost'> & {
	/** When it was last heard of, in milliseconds of the steady clock; `undefined` where it never was. */
	readonly heardAt: number | undefined;
};
