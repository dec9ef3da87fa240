import {request, type Dispatcher} from 'undici';
import {type JsonResponse} from './json-response.js';

/** What is sent with a JSON call. */
type JsonCall = {
	readonly method?: Dispatcher.HttpMethod;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
Sends a JSON request and reads a JSON answer.

@throws {Error} When no whole answer arrives within `timeoutMs`.
*/
export async function callJson(url: string, call: JsonCall): Promise<JsonResponse> {
	const timeout = AbortSignal.timeout(call.timeoutMs);
	const signal = call.signal ? AbortSignal.any([timeout, call.signal]) : timeout;
	const {statusCode, body} = await request(url, {
		method: call.method ?? (call.body === undefined ? 'GET' : 'POST'),
		headers: {'content-type': 'application/json', ...call.headers},
		...(call.body === undefined ? {} : {body: JSON.stringify(call.body)}),
		signal,
	});
	const text = await body.text();
	return {status: statusCode, body: text === '' ? undefined : JSON.parse(text), bytes: Buffer.byteLength(text)};
}
