/** Tracks whether this host can reach other failure domains. Times are in milliseconds. */
export type DomainReachability = {
	/** Records that bytes of an upstream of the failure domain arrived. */
	readonly recordContact: (domain: string, now: number) => void;
	/** Records that a connection to an upstream of the failure domain failed. */
	readonly recordConnectFailure: (domain: string, upstream: string, now: number) => void;
	readonly isPartitioned: (domain: string, now: number) => boolean;
};
