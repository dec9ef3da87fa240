import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {type Announcement} from '../announcements/announcement.js';
import {type ResponseFraming} from '../http/response-framing.js';

/** The decoded head of an upstream's response. */
export type ResponseHead = {
	readonly status: number;
	/** Id of the request that the response belongs to, as the upstream states it. */
	readonly requestId: string | undefined;
	/** Whether the response carries the upstream's signature. */
	readonly isSigned: boolean;
	/** Whether the upstream states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether two heads have run into one: a part of another response came before this one. */
	readonly isMerged: boolean;
	/** Whether the body has a content encoding; upstreams never send one, so the response comes from elsewhere. */
	readonly isEncoded: boolean;
	/** Id of the responding upstream; set when another upstream than the expected one responds. */
	readonly upstreamId: string | undefined;
	/** Weight version that the upstream served the request with; `undefined` when it states none. */
	readonly weightVersion: number | undefined;
	/** Time after which the request may be sent again, in milliseconds; `undefined` when the response states none. */
	readonly retryAfterMs: number | undefined;
	/** What another host that handled the request states of attempts spent; `undefined` in the response of an upstream or of an earlier build. */
	readonly spent?: SpentAttempts | undefined;
	/** What the upstream says of itself. */
	readonly announcement: Announcement;
	readonly framing: ResponseFraming;
	/** Whether the upstream announces that it closes the connection after the response. */
	readonly isCloseAnnounced: boolean;
	/** Media type of the body in lower case, without parameters; `undefined` when it states none. */
	readonly mediaType: string | undefined;
	/** Headers passed on to the caller unchanged, as alternating names and values. */
	readonly headers: readonly string[];
};
