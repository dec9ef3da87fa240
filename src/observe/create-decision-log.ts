import {type DecisionLog} from './decision-log.js';
import {type Decision} from './decision.js';
import {log} from './log.js';

const keptRequests = 2000;

/** Creates the decision log of `host`; it keeps the newest requests in memory. */
export function createDecisionLog(host: string): DecisionLog {
	const kept = new Map<string, Decision[]>();
	return {
		record(decision) {
			const full = {at: Date.now(), host, ...decision};
			log.info({...full, candidates: [...full.candidates ?? []] as never}, decision.what);
			const known = kept.get(decision.requestId);
			if (known) {
				known.push(full);
				return;
			}

			kept.set(decision.requestId, [full]);
			if (kept.size > keptRequests) {
				const [oldest] = kept.keys();
				kept.delete(oldest!);
			}
		},
		listByRequest: requestId => kept.get(requestId) ?? [],
	};
}
