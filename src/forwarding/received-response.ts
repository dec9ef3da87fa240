import {type ResponseFraming} from '../http/response-framing.js';

/** What arrived of a response, for logs. */
export type ReceivedResponse = {
	readonly framing: ResponseFraming;
	/** Whether the upstream announced that the connection closes after the response. */
	readonly isCloseAnnounced: boolean;
	readonly bodyBytes: number;
	/** Bytes after the last complete event; 0 if the body is no event stream. */
	readonly unfinishedEventBytes: number;
};
