/** What a host knows of its way to other failure domains. Times are in milliseconds. */
export type DomainReachability = {
	/** Notes a report or an answer from a failure domain. */
	readonly recordContact: (domain: string, now: number) => void;
	/** Notes that an upstream there could not be reached. */
	readonly recordConnectFailure: (domain: string, upstream: string, now: number) => void;
	readonly isPartitioned: (domain: string, now: number) => boolean;
};
