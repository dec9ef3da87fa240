import {Client} from 'undici';
import {isFinalStatus} from '../decide/forwarding/is-final-status.js';
import {createConnectionObserver} from '../http/create-connection-observer.js';
import {getResponseFraming} from '../http/get-response-framing.js';
import {readBody} from '../http/read-body.js';
import {type PlainRequest} from '../callers/plain-request.js';
import {type PlainResponse} from '../callers/plain-response.js';
import {UpstreamResponseError} from '../errors/upstream-response-error.js';
import {createTimeoutSignal} from '../util/create-timeout-signal.js';
import {isConnectError} from './is-connect-error.js';

const maxResponseBytes = 8 * 1024 * 1024;
const connectTimeoutMs = 1000;

/**
Sends a request to a plain service once, over a new connection, so that the HTTP client never sends it a second time.

@throws {UpstreamResponseError} When no complete response arrives; `mayHaveRun` is true if the service may have run the request.
*/
export async function callPlainService(url: string, req: PlainRequest, timeoutMs: number): Promise<PlainResponse> {
	const {origin, pathname} = new URL(url);
	const observer = createConnectionObserver(connectTimeoutMs);
	const client = new Client(origin, {connect: observer.connect, pipelining: 1});
	try {
		const {statusCode, headers, body} = await client.request({
			method: req.method,
			path: `${pathname.replace(/\/$/v, '')}${req.path}`,
			headers: {
				'x-request-id': req.requestId,
				'x-workspace': req.workspace,
				...(req.body === '' ? {} : {'content-type': req.contentType}),
				...(req.idempotencyKey === undefined ? {} : {'idempotency-key': req.idempotencyKey}),
			},
			...(req.body === '' ? {} : {body: req.body}),
			signal: createTimeoutSignal(timeoutMs),
			reset: true,
		});
		const text = await readBody(body, maxResponseBytes);
		if (!isFinalStatus(statusCode)) {
			throw new Error(`the response has status ${statusCode}`);
		}

		const framing = getResponseFraming({
			method: req.method, status: statusCode, transferEncoding: headers['transfer-encoding']?.toString(), contentLength: headers['content-length']?.toString(),
		});
		if (framing === 'close' && await observer.detectReset()) {
			throw new Error('the connection was reset before the end of the response');
		}

		const contentType = headers['content-type'];
		return {
			status: statusCode,
			contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
			body: text,
			isReplay: false,
		};
	} catch (error) {
		throw new UpstreamResponseError(String(error), !isConnectError(error), true);
	} finally {
		void client.destroy();
	}
}
