import {type RetryBudget} from './retry-budget.js';

const fullest = 10;

/**
Creates a retry budget.

@param share - Retries for each first attempt, from 0 to 0.1.
*/
export function createRetryBudget(share: number): RetryBudget {
	let left = 1;
	return {
		earn() {
			left = Math.min(fullest, left + share);
		},
		spend() {
			if (left < 1) {
				return false;
			}

			left--;
			return true;
		},
	};
}
