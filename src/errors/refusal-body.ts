import {type ErrorKind} from './error-kind.js';
import {type ExecutionStatus} from './execution-status.js';
import {type Refusal} from './refusal.js';

/** JSON body of a refusal. */
type RefusalBody = {
	readonly error: {
		readonly kind: ErrorKind;
		readonly message: string;
		/** Whether an upstream has run the request. */
		readonly ran: ExecutionStatus;
		readonly retryAfterMs?: number;
	};
};

/** Returns the JSON response body for `refusal`. */
export function createRefusalBody(refusal: Refusal): RefusalBody {
	const {kind, message, ran, retryAfterMs} = refusal;
	return {
		error: {
			kind, message, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
		},
	};
}
