import {type DomainReport} from './domain-report.js';
import {type HostReport} from './host-report.js';
import {type KvStoreUpdate} from './kv-store-update.js';

/** What hosts send each other as a datagram. */
export type HostMessage = {
	readonly report?: HostReport | undefined;
	/** Whether the receiver is to add the report to its sum, for others. */
	readonly isForSum?: boolean | undefined;
	readonly sums?: readonly DomainReport[] | undefined;
	readonly kept?: readonly KvStoreUpdate[] | undefined;
	/** Whether the receiver is to pass sums and news on to the hosts of its failure domain. */
	readonly isToPassOn?: boolean | undefined;
};
