import {type ErrorKind} from './error-kind.js';
import {type ExecutionStatus} from './execution-status.js';

/**
A request that ends without an answer from an upstream.

@example
throw new Refusal('unknown-model', 'model "x" is not served', 'no');
*/
export class Refusal extends Error {
	/**
	@param kind - Entry of the closed list of error kinds.
	@param message - Text for the caller; never holds prompt text or keys.
	@param ran - What is known about whether the request was run.
	@param retryAfterMs - When to come back, in milliseconds.
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
