import {type ForwardingProgress} from './forwarding-progress.js';
import {type SendOutcome} from './send-outcome.js';

function describeOutcome(outcome: SendOutcome): string {
	if (outcome.kind === 'failed-answer') {
		return `upstream answered ${outcome.head.status}`;
	}

	return outcome.kind === 'answered' ? 'answered' : outcome.reason;
}

/** Records in a request's progress what a send says of whether the request ran. */
export function recordSend(progress: ForwardingProgress, outcome: SendOutcome): void {
	progress.lastReason = describeOutcome(outcome);
	if (outcome.kind === 'failed-answer') {
		progress.ran = 'yes';
	} else if (outcome.kind === 'broken' && progress.ran === 'no') {
		progress.ran = 'unknown';
	}
}
