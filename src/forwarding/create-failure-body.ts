import {type ByteAccount} from '../util/byte-budget.js';
import {createByteBuffer} from '../util/create-byte-buffer.js';
import {type ResponseBody} from './response-body.js';
import {type ResponseHead} from './response-head.js';
import {responseLimits} from './response-limits.js';

/** Creates the body of a failure response, which is kept whole until it is known whether the request is sent again. */
export function createFailureBody(head: ResponseHead, kept: ByteAccount, abort: (reason: string, isFault: boolean) => void): ResponseBody {
	const bytes = createByteBuffer();
	return {
		push(chunk) {
			if (bytes.length() + chunk.length > responseLimits.failureBytes) {
				abort(`the failure response exceeds ${responseLimits.failureBytes} bytes`, true);
				return false;
			}

			if (!kept.keep(bytes.length() + chunk.length)) {
				abort('responses keep too many bytes, this failure is given up', false);
				return false;
			}

			bytes.append(chunk);
			return true;
		},
		end: () => ({kind: 'failed-answer', head, body: bytes.take()}),
	};
}
