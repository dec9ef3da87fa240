/** Inputs of an admission decision. Times are in milliseconds. */
type AdmissionInput = {
	/** Predicted time to the first byte at the best upstream. */
	readonly firstByteMs: number;
	/** Time that the caller has already waited, as far as known. */
	readonly waitedMs: number;
	/** Time to the first byte that the caller aims for. */
	readonly objectiveMs: number;
	/** Shortest objective among the more urgent routes of the same service; `undefined` where there are none. */
	readonly urgentObjectiveMs: number | undefined;
	/** Whether requests already wait at the best upstream. */
	readonly isQueueing: boolean;
	/** Uniform random number, at least 0 and less than 1. */
	readonly draw: number;
};

/** Result of the decision. `retryAfterMs` is the time after which the caller should retry, in milliseconds. */
type Admission = {readonly isAdmitted: true} | {readonly isAdmitted: false; readonly retryAfterMs: number};

/**
A request is refused when its predicted time is above this multiple of the objective; predictions are not exact enough for a lower
limit.
*/
const maxLatenessFactor = 1.25;
/** The retry time is chosen so that the predicted time has then fallen to this share of the limit. */
const retryTargetShare = 0.6;
const minRetryAfterMs = 120;
/** Retry times are extended by a random part, up to this share. */
const retrySpread = 0.8;

/**
Admits a request, or refuses it at once when its first byte would come too late to be useful. Load pattern: more prompts than the
engines can prefill, where each late response delays the following ones; refusing requests that would be late keeps the others on time.
Less urgent requests are refused before they make more urgent ones late. The retry time is when the queue is expected to have drained,
with a random part so that callers refused together do not retry together.
*/
export function decideAdmission({firstByteMs, waitedMs, objectiveMs, urgentObjectiveMs, isQueueing, draw}: AdmissionInput): Admission {
	const limitMs = Math.min(objectiveMs * maxLatenessFactor, urgentObjectiveMs ?? Number.POSITIVE_INFINITY);
	if (!isQueueing || firstByteMs + waitedMs <= limitMs) {
		return {isAdmitted: true};
	}

	const drainMs = Math.max(minRetryAfterMs, firstByteMs - (limitMs * retryTargetShare));
	return {isAdmitted: false, retryAfterMs: drainMs * (1 + (retrySpread * draw))};
}
