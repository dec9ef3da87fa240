import {type RetryBudget} from './retry-budget.js';

/** Maximum number of saved retries. */
const maxTokens = 10;
/** Retries available before the first attempt; first attempts repay them before they earn new ones. */
const initialTokens = 1;

/**
Creates a retry budget as a token bucket; each retry costs one token. The bucket starts with one token on credit, which the
first deposits repay, so that retries exceed their share only within the first few attempts.

@param tokensPerAttempt - Tokens added by each first attempt, from 0 to 0.1.
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
