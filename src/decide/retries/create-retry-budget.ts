import {type RetryBudget} from './retry-budget.js';

const fullest = 10;
const lent = 1;

/**
Creates a retry budget. One retry is lent at the start, and paid back before more is earned, so that retries exceed their
share only within the first few attempts.

@param share - Retries for each first attempt, from 0 to 0.1.
*/
export function createRetryBudget(share: number): RetryBudget {
	let left = lent;
	let debt = lent;
	return {
		deposit() {
			const paid = Math.min(debt, share);
			debt -= paid;
			left = Math.min(fullest, left + share - paid);
		},
		tryWithdraw() {
			if (left < 1) {
				return false;
			}

			left--;
			return true;
		},
	};
}
