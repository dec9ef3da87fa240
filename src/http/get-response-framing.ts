import {type ResponseFraming} from './response-framing.js';

/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** What tells how the end of a response is marked. */
type FramedResponse = {
	/** Method of the request. */
	readonly method: string;
	readonly status: number;
	/** Values of the headers; `undefined` for one that is missing. */
	readonly transferEncoding: string | undefined;
	readonly contentLength: string | undefined;
};

/** Returns how the end of a response's body is marked, by RFC 9112, section 6.3. */
export function getResponseFraming({method, status, transferEncoding, contentLength}: FramedResponse): ResponseFraming {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return 'none';
	}

	if (transferEncoding !== undefined) {
		return transferEncoding.trim().toLowerCase().endsWith('chunked') ? 'chunked' : 'close';
	}

	return contentLength === undefined ? 'close' : 'length';
}
