import {type ServerResponse} from 'node:http';
import {answers} from '../errors/answers.js';
import {createRefusalBody} from '../errors/refusal-body.js';
import {type CallerAnswer} from './caller-answer.js';

const msPerS = 1000;

/**
Creates the answer to a caller.

@param requestIdHeaders - Names and values that refusals carry so that callers can tell what they answer.
@param isLastOnConnection - Whether the caller is told to open a new connection next.
*/
export function createCallerAnswer(res: ServerResponse, requestIdHeaders: readonly string[], isLastOnConnection: () => boolean): CallerAnswer {
	let hasBegun = false;
	const begin = (status: number, headers: readonly string[]): void => {
		hasBegun = true;
		const closing = isLastOnConnection() ? ['Connection', 'close'] : [];
		res.writeHead(status, [...headers, ...closing]);
	};

	return {
		hasBegun: () => hasBegun,
		begin,
		write: chunk => res.write(chunk),
		onDrain(callback) {
			res.once('drain', callback);
		},
		end() {
			res.end();
		},
		break() {
			res.destroy();
		},
		refuse(refusal) {
			if (hasBegun) {
				res.destroy();
				return;
			}

			const {status, comeBack} = answers[refusal.kind];
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
