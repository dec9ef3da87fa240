/** A naming that comes within this time of the last word of the store is new; any other may have been made long ago. */
const freshConfirmationMs = 4000;

/**
Dates a naming of weights for a reader of stored context: when it learned of it, or long ago where it had had no word of the
store for a while, since others may then have known for long and be about to free the context of older weights.

@param learnedAt - When the naming became known here.
@param confirmedAt - When the store had last said that there was none; `undefined` when it never had.
*/
export function estimateSupersededAt(learnedAt: number, confirmedAt: number | undefined): number {
	return confirmedAt !== undefined && learnedAt - confirmedAt <= freshConfirmationMs ? learnedAt : Number.NEGATIVE_INFINITY;
}
