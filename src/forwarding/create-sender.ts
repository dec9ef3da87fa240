import {mayRepeat} from '../decide/forwarding/may-repeat.js';
import {type ServiceLatencyModel} from '../decide/forwarding/service-latency-model.js';
import {log} from '../observe/log.js';
import {type StreamVersions} from '../streams/stream-versions.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type ByteBudget} from '../util/byte-budget.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type CallerRequest} from './caller-request.js';
import {createAttemptSignal} from './create-attempt-signal.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type Placement} from './placement.js';
import {sendOnce} from './send-once.js';
import {startAttemptTimer} from './start-attempt-timer.js';
import {type UpstreamRequestOptions} from './upstream-request-options.js';
import {type SendOutcome} from './send-outcome.js';

/** Dependencies of the sender. */
type SenderOptions = {
	readonly registry: UpstreamRegistry;
	/** Returns the latency model of a service. */
	readonly getLatencyModel: (service: string) => ServiceLatencyModel;
	/** Returns the headers of a request to an upstream. */
	readonly encode: (request: CallerRequest, options: UpstreamRequestOptions) => string[];
	/** Called when the first event of a stream has been passed on to its caller. */
	readonly recordBegin: StreamVersions['recordBegin'];
	/** What the host keeps of responses, all together. */
	readonly keptBytes: ByteBudget;
	readonly now: () => number;
};

/** Creates the function that sends a request once to the upstream chosen for it, within the remaining time. */
export function createSender({registry, getLatencyModel, encode, recordBegin, keptBytes, now}: SenderOptions) {
	return async (admitted: AdmittedRequest, progress: ForwardingProgress, placement: Placement): Promise<SendOutcome> => {
		const {request, route, body, answer} = admitted;
		const {splitter, service} = progress;
		const sentAt = now();
		const leftMs = progress.endsAt - sentAt;
		const attempt = createAttemptSignal(admitted, leftMs);
		const stopAttemptTimer = startAttemptTimer(admitted, attempt, leftMs);
		const stopListening = mayRepeat(route) && registry.onSilence(placement.upstream.id, () => {
			attempt.abort('the link to the upstream is lost');
		});
		placement.recordSent();
		try {
			return await sendOnce({
				requestId: request.id!,
				answer,
				keptBytes,
				signal: attempt.signal,
				splitter,
				isResumedByCaller: request.resumeAfter !== undefined,
				send: listener => registry.send(placement.upstream, {
					id: request.id!,
					method: request.method,
					target: request.target,
					headers: encode(request, {...placement.options, deadlineMs: leftMs, resumeAfter: splitter?.lastEventId() ?? request.resumeAfter}),
					body,
				}, {
					waitingTokens: placement.missingTokens, heldTokens: placement.heldTokens, priority: placement.priority, expectedMs: placement.firstByteMs,
				}, listener),
				onFirstEvent() {
					progress.begunVersion ??= placement.upstream.softwareVersion;
					recordBegin(request.id!, service, progress.begunVersion);
				},
				onDelivery({status}) {
					stopAttemptTimer();
					placement.claim?.recordAnswered();
					getLatencyModel(service).recordFirstByte(placement.firstByteMs, now() - sentAt);
					log.info({
						requestId: request.id!, upstream: placement.upstream.id, softwareVersion: placement.upstream.softwareVersion, status,
						afterMs: Math.round(now() - admitted.receivedAt), predictedMs: Math.round(placement.firstByteMs),
					}, 'answer begins');
				},
			});
		} finally {
			attempt.dispose();
			stopAttemptTimer();
			if (stopListening) {
				stopListening();
			}

			getLatencyModel(service).recordResidence(now() - sentAt);
		}
	};
}
