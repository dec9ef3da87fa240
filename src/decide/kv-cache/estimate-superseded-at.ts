/**
If a host's last confirmation is at most this old when it learns of newer weights, these became the desired ones only after that
confirmation.
*/
const freshConfirmationMs = 4000;

/**
Estimates when newer weights became the desired ones, for a host that reads stored KV cache of older ones: when this host learned of
them, or `-Infinity` if its last confirmation from the platform's store was too long before. In that case other hosts may have known of
the newer weights for a long time and be about to free the KV cache of the older ones.

@param learnedAt - When this host learned of the newer weights.
@param confirmedAt - When the platform's store last confirmed that there were none; `undefined` when it never has.
*/
export function estimateSupersededAt(learnedAt: number, confirmedAt: number | undefined): number {
	return confirmedAt !== undefined && learnedAt - confirmedAt <= freshConfirmationMs ? learnedAt : Number.NEGATIVE_INFINITY;
}
