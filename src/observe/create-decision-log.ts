import {type DecisionLog} from './decision-log.js';
import {type Decision} from './decision.js';
import {log} from './log.js';

/** Number of requests whose decisions are stored. */
const maxRequests = 2000;

/** Creates the decision log of `host`, which keeps the decisions about the newest requests in memory. */
export function createDecisionLog(host: string): DecisionLog {
	const decisionsByRequest = new Map<string, Decision[]>();
	return {
		record(decision) {
			const entry = {at: Date.now(), host, ...decision};
			log.info({...entry, candidates: [...entry.candidates ?? []] as never}, decision.what);
			const existing = decisionsByRequest.get(decision.requestId);
			if (existing) {
				existing.push(entry);
				return;
			}

			decisionsByRequest.set(decision.requestId, [entry]);
			if (decisionsByRequest.size > maxRequests) {
				const [oldest] = decisionsByRequest.keys();
				decisionsByRequest.delete(oldest!);
			}
		},
		listByRequest: requestId => decisionsByRequest.get(requestId) ?? [],
	};
}
