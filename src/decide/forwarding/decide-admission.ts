/** What is known when a request is admitted or refused. Times are in milliseconds. */
type AdmissionInput = {
	/** Predicted time to the first byte at the best upstream. */
	readonly firstByteMs: number;
	/** Time since the caller first asked, as far as known. */
	readonly waitedMs: number;
	/** Time to the first byte that the caller aims for. */
	readonly objectiveMs: number;
	/** Least such time that callers of more urgent routes of the same service aim for; `undefined` where there are none. */
	readonly urgentObjectiveMs: number | undefined;
	/** Whether requests already wait at the best upstream. */
	readonly isQueueing: boolean;
	/** Uniform number from 0 to 1. */
	readonly draw: number;
};

/** What becomes of a request. */
type Admission = {readonly isAdmitted: true} | {readonly isAdmitted: false; readonly retryAfterMs: number};

/** A prediction above this multiple of the objective is refused; it is not exact enough for less. */
const maxLatenessFactor = 1.25;
/** A caller that comes back should find the prediction at this share of the objective. */
const retryTargetShare = 0.6;
const minRetryAfterMs = 120;
/** Callers refused together are spread over this share of their wait. */
const retrySpread = 0.8;

/**
Admits a request, or refuses it at once when its first byte would come too late to be of use. Load pattern: more work than
the engines can read, where each late answer makes the next ones late too; refusing what would be late keeps the others on
time. What is less urgent is refused before it makes the urgent late. A refused caller is asked back when the queue is expected to have gone down, spread so that those refused together do
not return together.
*/
export function decideAdmission({firstByteMs, waitedMs, objectiveMs, urgentObjectiveMs, isQueueing, draw}: AdmissionInput): Admission {
	const limitMs = Math.min(objectiveMs * maxLatenessFactor, urgentObjectiveMs ?? Number.POSITIVE_INFINITY);
	if (!isQueueing || firstByteMs + waitedMs <= limitMs) {
		return {isAdmitted: true};
	}

	const drainMs = Math.max(minRetryAfterMs, firstByteMs - (limitMs * retryTargetShare));
	return {isAdmitted: false, retryAfterMs: drainMs * (1 + (retrySpread * draw))};
}
