import {type RetryBudget} from './retry-budget.js';

const maxTokens = 10;
const initialTokens = 1;

/**
Creates a retry budget. One retry is lent at the start, and paid back before more is earned, so that retries exceed their
share only within the first few attempts.

@param tokensPerAttempt - Retries for each first attempt, from 0 to 0.1.
*/
export function createRetryBudget(tokensPerAttempt: number): RetryBudget {
	let tokens = initialTokens;
	let debt = initialTokens;
	return {
		deposit() {
			const repaid = Math.min(debt, tokensPerAttempt);
			debt -= repaid;
			tokens = Math.min(maxTokens, tokens + tokensPerAttempt - repaid);
		},
		tryWithdraw() {
			if (tokens < 1) {
				return false;
			}

			tokens--;
			return true;
		},
	};
}
