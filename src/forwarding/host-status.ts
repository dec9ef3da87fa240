/** What a host says of itself, apart from its load. */
export type HostStatus = {
	readonly host: string;
	readonly domain: string;
	/** Address for calls of other hosts, `IP:PORT`. */
	readonly peers: string;
	/** Where reports to this host go, `IP:PORT`. */
	readonly reports: string;
	/** Bandwidth of its own link, in Mbit/s. */
	readonly linkMbps: number;
	/** Time until the same hosts hear of it again, in milliseconds. */
	readonly everyMs: number;
	/** Revision of the last change that the host knows, by kind of stored objects. */
	readonly changes: Readonly<Record<string, number>>;
	/** Whether the store does not answer this host. */
	readonly isStoreLost: boolean;
	/** Age of the store's last word on the newest weights, in milliseconds; `undefined` when there was none. */
	readonly weightsAgeMs: number | undefined;
};
