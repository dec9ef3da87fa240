import {type SpentAttempts} from '../decide/attempts/spent-attempts.js';
import {type AdmittedRequest} from '../forwarding/admitted-request.js';
import {type CallerRequest} from '../forwarding/caller-request.js';
import {createAttemptSignal} from '../forwarding/create-attempt-signal.js';
import {describeAttempts} from '../forwarding/describe-attempts.js';
import {type ForwardingProgress} from '../forwarding/forwarding-progress.js';
import {type RelayedRequestOptions} from '../forwarding/relayed-request-options.js';
import {sendOnce} from '../forwarding/send-once.js';
import {type SendOutcome} from '../forwarding/send-outcome.js';
import {startAttemptTimer} from '../forwarding/start-attempt-timer.js';
import {log} from '../observe/log.js';
import {type KnownHost} from '../reports/known-host.js';
import {type ByteBudget} from '../util/byte-budget.js';
import {type RelayClient} from './relay-client.js';

/** Dependencies of the relay sender. */
type RelaySenderOptions = {
	readonly relay: RelayClient;
	/** Returns the headers of a request that another host places. */
	readonly encodeRelayed: (request: CallerRequest, options: RelayedRequestOptions) => string[];
	/** What the host keeps of responses, all together. */
	readonly keptBytes: ByteBudget;
	readonly now: () => number;
};

/** Creates the function that hands a request on to another host once, within the remaining time, and counts what that host says it has spent. */
export function createRelaySender({relay, encodeRelayed, keptBytes, now}: RelaySenderOptions) {
	return async (admitted: AdmittedRequest, progress: ForwardingProgress, helper: KnownHost): Promise<SendOutcome> => {
		const {request, route, body, answer} = admitted;
		const {splitter, attempts} = progress;
		const leftMs = progress.endsAt - now();
		const ownResume = splitter?.lastEventId();
		log.info({
			requestId: request.id!, route: route.name, service: progress.service, helper: helper.host, domain: helper.domain,
			heardAgeMs: Math.round(now() - (helper.heardAt ?? 0)), ...describeAttempts(progress), leftMs: Math.round(leftMs),
		}, 'handed on to another host');
		const spentBefore = attempts.spent();
		const limits = attempts.grant(helper.countsAttempts ?? false);
		const attempt = createAttemptSignal(admitted, leftMs);
		const stopAttemptTimer = startAttemptTimer(admitted, attempt, leftMs);
		let stated: SpentAttempts | undefined;
		try {
			const outcome = await sendOnce({
				requestId: request.id!,
				answer,
				keptBytes,
				signal: attempt.signal,
				splitter,
				isResumedByCaller: request.resumeAfter !== undefined,
				send: listener => relay.send(helper, {
					id: request.id!,
					method: request.method,
					target: request.target,
					headers: encodeRelayed(request, {
						deadlineMs: leftMs,
						resumeAfter: ownResume ?? request.resumeAfter,
						begunBy: request.begunBy ?? (ownResume === undefined ? undefined : request.id),
						attempts: {spent: spentBefore, limits},
					}),
					body,
				}, {
					...listener,
					onHead(head) {
						stated = head.spent;
						listener.onHead(head);
					},
				}),
				onFirstEvent: () => undefined,
				onDelivery({status}) {
					stopAttemptTimer();
					log.info({
						requestId: request.id!, helper: helper.host, status, afterMs: Math.round(now() - admitted.receivedAt),
					}, 'answer begins');
				},
			});
			attempts.settleGrant(outcome, stated);
			return outcome;
		} finally {
			attempt.dispose();
			stopAttemptTimer();
		}
	};
}
