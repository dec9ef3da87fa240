import {type Member} from '../decide/membership/member.js';

/** Status of a failure domain, written to the platform by the domain's lease holder for operators. */
export type DomainStatus = {
	readonly domain: string;
	/** Wall-clock time of the write in milliseconds. */
	readonly at: number;
	readonly holder: string;
	readonly revision: number;
	readonly hosts: readonly Member[];
};
