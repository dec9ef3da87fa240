import {type HostStatus} from './host-status.js';

/** Another host, as known from its reports or from the store. It stays the same object while nothing but `heardAt` changes. */
export type KnownHost = Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps' | 'everyMs' | 'isStoreLost' | 'lostServices' | 'unheard' | 'countsAttempts' | 'claimsPlaces'> & {
	/** When its last status arrived, in milliseconds of the monotonic clock; `undefined` when none has. */
	readonly heardAt: number | undefined;
};
