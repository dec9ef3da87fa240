import {type ServerResponse} from 'node:http';
import {errorStatuses} from '../errors/error-statuses.js';
import {createRefusalBody} from '../errors/refusal-body.js';
import {type CallerResponse} from './caller-response.js';

const msPerS = 1000;
/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Creates the answer to a caller.

@param requestIdHeaders - Names and values that refusals carry so that callers can tell what they answer.
@param isLastOnConnection - Whether the caller is told to open a new connection next.
*/
export function createCallerResponse(res: ServerResponse, requestIdHeaders: readonly string[], isLastOnConnection: () => boolean): CallerResponse {
	let hasSentHead = false;
	/** The end of a body without a length is marked, so that a broken one can't be taken for whole. */
	const getFramingHeaders = (status: number, headers: readonly string[]): readonly string[] => {
		const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
		const hasBody = res.req.method !== 'HEAD' && !bodilessStatuses.has(status);
		return hasLength || !hasBody || res.req.httpVersion !== '1.1' ? [] : ['Transfer-Encoding', 'chunked'];
	};

	const begin = (status: number, headers: readonly string[]): void => {
		hasSentHead = true;
		const connectionHeaders = isLastOnConnection() ? ['Connection', 'close'] : [];
		res.writeHead(status, [...headers, ...getFramingHeaders(status, headers), ...connectionHeaders]);
	};

	/** Resets the connection: a plain close could pass for the end of a body without a length. */
	const resetConnection = (): void => {
		res.socket?.resetAndDestroy();
		res.destroy();
	};

	return {
		isHeadSent: () => hasSentHead,
		begin,
		// A caller that has gone takes everything at once: nothing would tell when it could take more.
		write: chunk => res.destroyed || res.write(chunk),
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
				'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...requestIdHeaders, ...retryAfter,
			]);
			res.end(body);
		},
	};
}
