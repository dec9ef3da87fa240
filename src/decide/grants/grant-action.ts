import {type Ask} from './ask.js';
import {type RefuseReason} from './refuse-reason.js';

/** What the owner has to answer. */
export type GrantAction
	= | {readonly kind: 'grant'; readonly ask: Ask}
		| {readonly kind: 'refuse'; readonly ask: Ask; readonly reason: RefuseReason; readonly retryAfterMs: number};
