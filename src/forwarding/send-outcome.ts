import {type ReceivedResponse} from './received-response.js';
import {type ResponseHead} from './response-head.js';

/**
Outcome of one attempt to send a request:
- `answered`: the complete response was delivered to the caller;
- `not-run`: the upstream stated that it did not run the request, or nothing was sent;
- `failed-answer`: the upstream sent a complete error response, which is not delivered yet;
- `broken`: no complete response arrived, and the request may have run.
*/
export type SendOutcome
	= | {readonly kind: 'answered'; readonly received: ReceivedResponse}
		| {readonly kind: 'not-run'; readonly reason: string; readonly head: ResponseHead | undefined; /** Whether this side aborted the request. */ readonly isGivenUp: boolean}
		| {readonly kind: 'failed-answer'; readonly head: ResponseHead; readonly body: Buffer}
		| {
			readonly kind: 'broken';
			readonly reason: string;
			/** Whether this side aborted the request. */
			readonly isGivenUp: boolean;
			/** `undefined` when no head arrived. */
			readonly received: ReceivedResponse | undefined;
		};
