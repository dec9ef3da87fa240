import {type HostReport} from './host-report.js';
import {type KeptNews} from './kept-news.js';

/** Another host, as it reports itself. */
export type KnownHost = {
	readonly host: string;
	readonly domain: string;
	readonly peers: string;
	readonly reports: string;
	/** When the last report came, in milliseconds of the steady clock; `undefined` where none has come. */
	readonly heardAt: number | undefined;
	/** Time between its reports, in milliseconds. */
	readonly everyMs: number;
	/** Whether the store does not answer it. */
	readonly isStoreLost: boolean;
};

/** The other hosts of the system, and reports to and from them. */
export type HostLinks = {
	/** Opens the socket, registers this host and begins to report. */
	readonly start: () => Promise<void>;
	/** Hosts whose reports arrive. */
	readonly alive: () => readonly KnownHost[];
	/** Hosts that the store or a report has named, this one not included, after the store was asked again. */
	readonly listAll: () => Promise<readonly KnownHost[]>;
	/** Hosts that the store or a report has named, this one included. */
	readonly count: () => number;
	/** Sends news of a store of kept context to all hosts. */
	readonly tell: (news: KeptNews) => void;
	readonly stop: () => void;
};

/** Makes the report to send now. */
export type MakeReport = () => Pick<HostReport, 'loads' | 'loading' | 'weights' | 'changes' | 'weightsAgeMs' | 'crashes' | 'isStoreLost'>;
