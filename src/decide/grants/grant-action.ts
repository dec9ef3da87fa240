import {type SlotRequest} from './slot-request.js';
import {type GrantRefusalReason} from './grant-refusal-reason.js';

/** A response that the engine's owner has to send to the host of the slot request `ask`. */
export type GrantAction
	= | {readonly kind: 'grant'; readonly ask: SlotRequest}
		| {readonly kind: 'refuse'; readonly ask: SlotRequest; readonly reason: GrantRefusalReason; readonly retryAfterMs: number};
