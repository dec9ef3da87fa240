import {type RetryBudget} from '../decide/retries/retry-budget.js';
import {UpstreamResponseError} from '../errors/upstream-response-error.js';
import {type ExecutionStatus} from '../errors/execution-status.js';
import {Refusal} from '../errors/refusal.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {type UpstreamSettings} from '../settings/upstream-settings.js';
import {callPlainService} from '../upstreams/call-plain-service.js';
import {type PlainRunner} from './plain-runner.js';

const minRetryAfterMs = 1000;
/** Maximum random extra delay, as a share of `minRetryAfterMs`. */
const retryAfterJitter = 1;

/** Options of `createRetryingRunner`. */
type RetryingRunnerOptions = {
	/** Returns the upstreams that accept new requests, best first. */
	readonly listUsable: (upstreams: readonly UpstreamSettings[]) => readonly UpstreamSettings[];
	/** Returns the retry budget of a service; `share` is the allowed share of retries. */
	readonly getRetryBudget: (service: string, share: number) => RetryBudget;
	readonly decisions: DecisionLog;
	readonly random: () => number;
};

/** Creates the function that runs repeatable requests, with retries on other upstreams within the service's retry budget. */
export function createRetryingRunner({listUsable, getRetryBudget, decisions, random}: RetryingRunnerOptions): PlainRunner {
	return async req => {
		const {service, requestId} = req;
		const budget = getRetryBudget(service.service, service.limits.retryShare);
		budget.deposit();
		let ran: ExecutionStatus = 'no';
		let failure = 'no upstream accepts new requests';
		const retryAfterMs = Math.ceil(minRetryAfterMs * (1 + (retryAfterJitter * random())));
		for (const [index, upstream] of listUsable(service.upstreams).entries()) {
			const leftMs = req.deadlineAt - Date.now();
			if (leftMs <= 0) {
				throw new Refusal('deadline', 'no upstream responded before the deadline', ran, retryAfterMs);
			}

			if (index > 0 && !budget.tryWithdraw()) {
				break;
			}

			decisions.record({
				requestId, what: 'route', candidates: [{upstream: upstream.name}], reason: index === 0 ? 'first choice' : 'retry within the budget',
			});
			try {
				return await callPlainService(upstream.url, req, leftMs);
			} catch (error) {
				if (!(error instanceof UpstreamResponseError)) {
					throw error;
				}

				failure = error.message;
				ran = error.mayHaveRun ? 'unknown' : ran;
			}
		}

		throw new Refusal(ran === 'no' ? 'no-upstream' : 'upstream-failed', failure, ran, retryAfterMs);
	};
}
