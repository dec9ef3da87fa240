/** A host's request for a permit to send one request to a cold upstream. */
export type ColdPermitRequest = {
	readonly host: string;
	/** Id of the upstream. */
	readonly id: string;
	/** Requests a second that the upstream tolerates from all hosts together, as far as the host knows. */
	readonly perS: number;
	/** Whether the request is sent in any case, and only counted. */
	readonly isCharge: boolean;
};
