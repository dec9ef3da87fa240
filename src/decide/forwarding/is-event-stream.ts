import {type ResponseHead} from '../../forwarding/response-head.js';

const eventStreamType = 'text/event-stream';
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;
const noContentStatus = 204;

/** Whether the body of a response on a streaming route is a stream of events. An upstream may leave its media type out. */
export function isEventStream({status, mediaType}: Pick<ResponseHead, 'status' | 'mediaType'>): boolean {
	return status >= firstSuccessStatus && status < firstRedirectStatus && status !== noContentStatus && (mediaType ?? eventStreamType) === eventStreamType;
}
