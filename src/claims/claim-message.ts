import {type ClaimBatch} from './claim-batch.js';
import {type QuoteBatch} from './quote-batch.js';

/** The part of a datagram between hosts that concerns claims. */
export type ClaimMessage = {
	readonly claims?: ClaimBatch | undefined;
	readonly quotes?: QuoteBatch | undefined;
};
