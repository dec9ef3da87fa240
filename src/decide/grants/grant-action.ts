import {type SlotRequest} from './slot-request.js';
import {type GrantRefusalReason} from './grant-refusal-reason.js';

/** What the owner has to answer. */
export type GrantAction
	= | {readonly kind: 'grant'; readonly ask: SlotRequest}
		| {readonly kind: 'refuse'; readonly ask: SlotRequest; readonly reason: GrantRefusalReason; readonly retryAfterMs: number};
