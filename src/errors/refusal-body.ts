import {type ErrorKind} from './error-kind.js';
import {type Ran} from './ran.js';
import {type Refusal} from './refusal.js';

/** JSON body of a refusal. */
type RefusalBody = {
	readonly error: {
		readonly kind: ErrorKind;
		readonly message: string;
		readonly ran: Ran;
		readonly retryAfterMs?: number;
	};
};

/** Gives the JSON body that answers `refusal`. */
export function createRefusalBody(refusal: Refusal): RefusalBody {
	const {kind, message, ran, retryAfterMs} = refusal;
	return {
		error: {
			kind, message, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
		},
	};
}
