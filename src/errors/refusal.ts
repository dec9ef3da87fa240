import {type ErrorKind} from './error-kind.js';
import {type ExecutionStatus} from './execution-status.js';

/**
Error that ends a request without a response from an upstream.

@example
throw new Refusal('unknown-model', 'model "x" is not served', 'no');
*/
export class Refusal extends Error {
	/**
	@param kind - Kind of the error response.
	@param message - Text for the caller; never contains prompt text or keys.
	@param ran - Whether an upstream has run the request, as far as is known.
	@param retryAfterMs - Time after which the caller may retry, in milliseconds.
	*/
	constructor(
		readonly kind: ErrorKind,
		message: string,
		readonly ran: ExecutionStatus,
		readonly retryAfterMs?: number,
	) {
		super(message);
		this.name = 'Refusal';
	}
}
