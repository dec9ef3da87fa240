import {type KvStoreUpdate} from './kv-store-update.js';
import {type KnownHost} from './known-host.js';

/** The other hosts of the system, and reports to and from them. */
export type HostReportExchange = {
	/** Opens the socket, registers this host and begins to report. */
	readonly start: () => Promise<void>;
	/** Hosts whose reports arrive. */
	readonly alive: () => readonly KnownHost[];
	/** Hosts that the store or a report has named, this one not included, after the store was asked again. */
	readonly refreshAndList: () => Promise<readonly KnownHost[]>;
	/** Mean age of what is known of other hosts' loads, in milliseconds. */
	readonly reportAgeMs: () => number;
	/** Hosts that the store or a report has named, this one included. */
	readonly countHosts: () => number;
	/** Sends news of a store of kept context to all hosts. */
	readonly publishKvUpdate: (update: KvStoreUpdate) => void;
	readonly stop: () => void;
};

