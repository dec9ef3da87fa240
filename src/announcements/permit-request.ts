import {type ReportedLimit} from './reported-limit.js';

/** A host's request for a permit to send one request to an upstream with a limit. */
export type PermitRequest = {
	readonly host: string;
	/** The limit as the host knows it. */
	readonly limit: ReportedLimit;
	/** Whether the request is sent in any case, and only counted. */
	readonly isCharge: boolean;
};
