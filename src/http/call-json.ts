import {request, type Dispatcher} from 'undici';
import {createTimeoutSignal} from '../util/create-timeout-signal.js';
import {readBody} from './read-body.js';
import {type JsonResponse} from './json-response.js';

const maxBodyBytes = 32 * 1024 * 1024;

/** Options of a JSON call. */
type JsonCall = {
	/** By default `POST` with a body, otherwise `GET`. */
	readonly method?: Dispatcher.HttpMethod;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
Sends a JSON request and reads the JSON response.

@throws {BodyTooLargeError} When the body is too long.
@throws {Error} When no complete response arrives within `timeoutMs`.
*/
export async function callJson(url: string, call: JsonCall): Promise<JsonResponse> {
	const timeout = createTimeoutSignal(call.timeoutMs);
	const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
	const {statusCode, body} = await request(url, {
		method: call.method ?? (call.body === undefined ? 'GET' : 'POST'),
		headers: {'content-type': 'application/json', ...call.headers},
		...(call.body === undefined ? {} : {body: JSON.stringify(call.body)}),
		signal,
	});
	const text = await readBody(body, maxBodyBytes);
	return {status: statusCode, body: text === '' ? undefined : JSON.parse(text), bytes: Buffer.byteLength(text)};
}
