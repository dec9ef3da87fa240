import {Refusal} from '../../errors/refusal.js';
import {type ExecutionStatus} from '../../errors/execution-status.js';
import {type FailureReason} from './failure-reason.js';

/** Why and how a request failed. */
type FinalRefusalOptions = {
	readonly reason: FailureReason;
	/** Whether an upstream ran the request, as far as known. */
	readonly ran: ExecutionStatus;
	readonly detail: string;
	/** Time until capacity is expected, in milliseconds; used only where the request was not run. `undefined` where coming back does not help. */
	readonly retryAfterMs: number | undefined;
};

/**
Creates the refusal for a request that ends without an upstream's response. Its status promises that the request was not run only where that
is known.
*/
export function createFinalRefusal({reason, ran, detail, retryAfterMs}: FinalRefusalOptions): Refusal {
	if (ran === 'no') {
		return reason === 'overloaded'
			? new Refusal('overloaded', detail, 'no', retryAfterMs)
			: new Refusal(reason === 'time-over' ? 'deadline' : 'no-upstream', detail, 'no', retryAfterMs);
	}

	return new Refusal(reason === 'time-over' ? 'timed-out' : 'upstream-failed', detail, ran);
}
