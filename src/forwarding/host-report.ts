import {type UpstreamLoad} from './upstream-load.js';

/** What a host tells the others several times a second, as a datagram. */
export type HostReport = {
	readonly host: string;
	readonly domain: string;
	/** Address for calls of other hosts, `IP:PORT`. */
	readonly peers: string;
	/** Where reports to this host go, `IP:PORT`. */
	readonly reports: string;
	/** Time until the next report to the same host, in milliseconds. */
	readonly everyMs: number;
	readonly loads: readonly UpstreamLoad[];
	/** Engines that are taking new weights: id, model and version. */
	readonly loading: ReadonlyArray<readonly [string, string, number]>;
	/** Weights that engines were found to have lately: id, model and version. */
	readonly weights: ReadonlyArray<readonly [string, string, number]>;
	/** Requests that have lately crashed an upstream: digest and upstream. */
	readonly crashes: ReadonlyArray<readonly [string, string]>;
	/** Revision of the last change that the host knows, by kind of stored objects. */
	readonly changes: Readonly<Record<string, number>>;
	/** Whether the store does not answer this host. */
	readonly isStoreLost: boolean;
	/** Age of the store's last word on the newest weights, in milliseconds; `undefined` when there was none. */
	readonly weightsAgeMs: number | undefined;
};
