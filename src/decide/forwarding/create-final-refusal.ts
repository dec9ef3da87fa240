import {Refusal} from '../../errors/refusal.js';
import {type ExecutionStatus} from '../../errors/execution-status.js';
import {type FailureReason} from './failure-reason.js';

/** What a refusal is made from. */
type FinalRefusalOptions = {
	readonly reason: FailureReason;
	/** What is known about whether an upstream ran the request. */
	readonly ran: ExecutionStatus;
	readonly detail: string;
	/** When capacity is expected, in milliseconds; used only where the request was not run. */
	readonly retryAfterMs: number;
};

/**
Gives the final answer to a request that ends without an upstream's answer. Only a request that is known not to have run is
told so; the statuses of the others promise nothing.
*/
export function createFinalRefusal({reason, ran, detail, retryAfterMs}: FinalRefusalOptions): Refusal {
	if (ran === 'no') {
		return reason === 'overloaded'
			? new Refusal('overloaded', detail, 'no', retryAfterMs)
			: new Refusal(reason === 'time-over' ? 'deadline' : 'no-upstream', detail, 'no', retryAfterMs);
	}

	return new Refusal(reason === 'time-over' ? 'timed-out' : 'upstream-failed', detail, ran);
}
