/** What a host knows of its way to other failure domains. Times are in milliseconds. */
export type DomainReach = {
	/** Notes a report or an answer from a failure domain. */
	readonly noteHeard: (domain: string, now: number) => void;
	/** Notes that an upstream there could not be reached. */
	readonly noteUnreached: (domain: string, upstream: string, now: number) => void;
	readonly isCutOff: (domain: string, now: number) => boolean;
};
