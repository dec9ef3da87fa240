import {type KvStoreUpdate} from '../forwarding/kv-store-update.js';
import {type HostReport} from './host-report.js';

/** Sends this host's reports to other hosts. */
export type ReportSender = {
	/** Sends a report and the statuses and updates due with it; called once per report interval. */
	readonly send: (report: Omit<HostReport, 'everyMs'>) => void;
	/** Sends an update of a KV cache store. */
	readonly sendKvUpdate: (update: KvStoreUpdate) => void;
};
