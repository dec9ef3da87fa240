import {type HostReport} from './host-report.js';
import {type KvStoreUpdate} from './kv-store-update.js';

/** A way to tell other hosts of this one. */
export type ReportSender = {
	/** Sends a report, and what is due with it; called once an interval. */
	readonly send: (report: Omit<HostReport, 'everyMs'>) => void;
	/** Sends news of a store of kept context. */
	readonly sendKvUpdate: (update: KvStoreUpdate) => void;
};
