import {type Member} from '../decide/membership/member.js';

/** What a domain's lease holder writes to the platform for operators. */
export type DomainStatus = {
	readonly domain: string;
	/** Wall-clock time of the writing in milliseconds. */
	readonly at: number;
	readonly holder: string;
	readonly revision: number;
	readonly hosts: readonly Member[];
};
