import {type ServerResponse} from 'node:http';
import {errorStatuses} from '../errors/error-statuses.js';
import {createRefusalBody} from '../errors/refusal-body.js';
import {type Refusal} from '../errors/refusal.js';
import {type CallerResponse} from './caller-response.js';

const msPerS = 1000;
/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Creates the response to a caller.

@param createRefusalHeaders - Returns alternating names and values of the headers of an error response, besides those of every refusal.
@param isLastOnConnection - Whether the response carries `Connection: close`.
@param createHeaders - Returns alternating names and values of further headers of each response.
*/
export function createCallerResponse(
	res: ServerResponse,
	createRefusalHeaders: (refusal: Refusal) => readonly string[],
	isLastOnConnection: () => boolean,
	createHeaders: () => readonly string[] = () => [],
): CallerResponse {
	let hasSentHead = res.headersSent;
	/** Chunks a body of unknown length, so that the caller detects when it is cut short. */
	const getFramingHeaders = (status: number, headers: readonly string[]): readonly string[] => {
		const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
		const hasBody = res.req.method !== 'HEAD' && !bodilessStatuses.has(status);
		return hasLength || !hasBody || res.req.httpVersion !== '1.1' ? [] : ['Transfer-Encoding', 'chunked'];
	};

	const begin = (status: number, headers: readonly string[]): void => {
		hasSentHead = true;
		const connectionHeaders = isLastOnConnection() ? ['Connection', 'close'] : [];
		res.writeHead(status, [...headers, ...getFramingHeaders(status, headers), ...connectionHeaders, ...createHeaders()]);
	};

	/** Resets the connection: the caller could take a regular close for the end of a body of unknown length. */
	const resetConnection = (): void => {
		res.socket?.resetAndDestroy();
		res.destroy();
	};

	return {
		isHeadSent: () => hasSentHead,
		begin,
		// Returns true once the caller has disconnected, since no `drain` event would follow.
		write: chunk => res.destroyed || res.write(chunk),
		pendingBytes: () => res.writableLength,
		onDrain(callback) {
			res.once('drain', callback);
		},
		end() {
			res.end();
		},
		abort: resetConnection,
		refuse(refusal) {
			if (hasSentHead) {
				resetConnection();
				return;
			}

			const {status, comeBack} = errorStatuses[refusal.kind];
			const body = JSON.stringify(createRefusalBody(refusal));
			const retryAfter = comeBack && refusal.retryAfterMs !== undefined
				? ['Retry-After', (refusal.retryAfterMs / msPerS).toFixed(2)]
				: [];
			begin(status, [
				'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...createRefusalHeaders(refusal), ...retryAfter,
			]);
			res.end(body);
		},
	};
}
