import {type ReportedLimit} from './reported-limit.js';

/** A host's request to send one request to a brittle upstream, or the end of one that it has sent. */
export type RoomRequest = {
	readonly host: string;
	/** What the upstream states, as the host knows it. */
	readonly statement: ReportedLimit;
	/** Number of the grant at the host; later ones have higher numbers. */
	readonly grant: number;
	/** Numbers of all grants of the receiver that the host holds there, this one included; the receiver forgets earlier ones that are not among them. */
	readonly held: readonly number[];
	/** Requests that the host has in flight there which the receiver has not granted. */
	readonly ungranted: number;
	/** Whether the request with the grant has ended. */
	readonly isEnd: boolean;
};
