import {type RetryBudget} from '../decide/retries/retry-budget.js';
import {BrokenStreamError} from '../errors/broken-stream-error.js';
import {type Ran} from '../errors/ran.js';
import {Refusal} from '../errors/refusal.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {type Upstream} from '../settings/upstream.js';
import {callService} from '../upstreams/call-service.js';
import {type PlainRunner} from './plain-runner.js';

const comeBackMs = 1000;
const comeBackSpread = 1;

/** What the runner of repeatable requests needs. */
type ReadRunnerOptions = {
	/** Upstreams of a service that take new work, best first. */
	readonly pick: (upstreams: readonly Upstream[]) => readonly Upstream[];
	readonly budgetOf: (service: string, share: number) => RetryBudget;
	readonly decisions: DecisionLog;
	readonly random: () => number;
};

/** Creates the function that runs repeatable requests, with retries on other upstreams within the service's budget. */
export function createReadRunner({pick, budgetOf, decisions, random}: ReadRunnerOptions): PlainRunner {
	return async req => {
		const {service, requestId} = req;
		const budget = budgetOf(service.service, service.limits.retryShare);
		budget.deposit();
		let ran: Ran = 'no';
		let failure = 'no upstream takes new work';
		const retryAfterMs = Math.ceil(comeBackMs * (1 + (comeBackSpread * random())));
		for (const [index, upstream] of pick(service.upstreams).entries()) {
			const leftMs = req.deadlineAt - Date.now();
			if (leftMs <= 0) {
				throw new Refusal('deadline', 'no upstream answered in time', ran, retryAfterMs);
			}

			if (index > 0 && !budget.tryWithdraw()) {
				break;
			}

			decisions.note({
				requestId, what: 'route', candidates: [{upstream: upstream.name}], reason: index === 0 ? 'first choice' : 'retry within the budget',
			});
			try {
				return await callService(upstream.url, req, leftMs);
			} catch (error) {
				if (!(error instanceof BrokenStreamError)) {
					throw error;
				}

				failure = error.message;
				ran = error.sent ? 'unknown' : ran;
			}
		}

		throw new Refusal(ran === 'no' ? 'no-upstream' : 'upstream-failed', failure, ran, retryAfterMs);
	};
}
