import {type InFlightRequest} from '../forwarding/in-flight-request.js';
import {type PlacedUpstream} from '../forwarding/placed-upstream.js';
import {type RequestCost} from '../forwarding/request-cost.js';
import {type ResponseListener} from '../forwarding/response-listener.js';
import {type UpstreamRequest} from '../forwarding/upstream-request.js';
import {type LinkLoss} from '../links/link-loss.js';
import {type UpstreamLinks} from '../links/upstream-links.js';
import {type UpstreamPaces} from '../pace/upstream-paces.js';
import {addTokens} from './add-tokens.js';
import {type createHeadLatencies} from './create-head-latencies.js';
import {recordAnnouncement} from './record-announcement.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Weight of the newest outcome in the moving average of failures. */
const newestOutcomeWeight = 0.1;
const firstFailureStatus = 500;

/** Errors of connections that nothing responded to; after any other one, the address refused the connection. */
const silentConnectErrors: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Dependencies of the sender. */
type UpstreamSenderOptions = {
	readonly entries: ReadonlyMap<string, UpstreamEntry>;
	readonly links: Pick<UpstreamLinks, 'use' | 'recordConnectFailure' | 'recordBroken'>;
	readonly headLatencies: ReturnType<typeof createHeadLatencies>;
	/** Closes the connections of an upstream that has left, unless a request is in flight there. */
	readonly closeWhenIdle: (entry: UpstreamEntry) => void;
	/** Whether a failure domain is out of service. */
	readonly isEvacuated: (domain: string) => boolean;
	readonly now: () => number;
	readonly paces: Pick<UpstreamPaces, 'track'> | undefined;
	/** Returns the requests of all hosts in flight at an upstream, as far as known. */
	readonly inFlight: (id: string) => number;
};

function describeLoss(error: Error & {code?: string}): LinkLoss {
	return silentConnectErrors.has(error.code ?? '') ? 'silent' : 'refused';
}

/** Errors that the HTTP client finds in a request before it opens a connection say nothing of the link. */
function isConnectError({code = ''}: Error & {code?: string}): boolean {
	return code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'UND_ERR_SOCKET' || (code.startsWith('E') && !code.startsWith('ERR_'));
}

/** Other ends of a connection, and bytes that are no response, have come over the link. */
function isReset({code}: Error & {code?: string}): boolean {
	return code === 'ECONNRESET' || code === 'EPIPE';
}

/** Creates the function that sends a request to the upstream it was placed at, and counts it as in flight until it ends. */
export function createUpstreamSender({entries, links, headLatencies, closeWhenIdle, isEvacuated, now, paces, inFlight}: UpstreamSenderOptions) {
	const findObstacle = (entry: UpstreamEntry | undefined, startedAt: number | undefined): string | undefined => {
		if (!entry || entry.upstream.startedAt !== startedAt) {
			return 'the upstream has left';
		}

		return isEvacuated(entry.upstream.domain) ? 'the failure domain of the upstream is out of service' : undefined;
	};

	return ({id, startedAt}: PlacedUpstream, request: UpstreamRequest, {waitingTokens, heldTokens, priority, expectedMs}: RequestCost, listener: ResponseListener): InFlightRequest => {
		const entry = entries.get(id);
		const obstacle = findObstacle(entry, startedAt);
		if (!entry || obstacle !== undefined) {
			queueMicrotask(() => {
				listener.onFail(new Error(obstacle), false);
			});
			return {abort: () => undefined, resume: () => undefined};
		}

		if (!entry.coldGate.take(now())) {
			queueMicrotask(() => {
				listener.onFail(new Error('the upstream has become cold'), false);
			});
			return {abort: () => undefined, resume: () => undefined};
		}

		const waitStart = {since: now()};
		const use = links.use(id);
		let hasHead = false;
		let hasFailed = false;
		let isAborted = false;
		entry.inFlight++;
		addTokens(entry.waitingTokens, priority, waitingTokens);
		entry.heldTokens += heldTokens;
		entry.waiting.add(waitStart);
		const paced = paces?.track(id, {expectedMs, inFlight: inFlight(id)});
		const recordAnswered = (): void => {
			if (entry.waiting.delete(waitStart)) {
				addTokens(entry.waitingTokens, priority, -waitingTokens);
			}
		};

		const recordEnded = (failed: boolean): void => {
			recordAnswered();
			use.end();
			entry.inFlight--;
			entry.heldTokens -= heldTokens;
			entry.failureShare += newestOutcomeWeight * ((failed ? 1 : 0) - entry.failureShare);
			closeWhenIdle(entry);
		};

		const running = entry.link.send(request, {
			onHead(head) {
				hasFailed = head.status >= firstFailureStatus && !head.isNotRun;
				recordAnswered();
				hasHead = true;
				entry.lastAnswerAt = now();
				use.recordContact();
				recordAnnouncement(entry, head, waitStart.since, now());
				headLatencies.record(entry.upstream.service, now() - waitStart.since);
				if (!head.isNotRun) {
					paced?.recordHead(hasFailed);
				}

				listener.onHead(head);
			},
			onData(chunk) {
				use.recordContact();
				return listener.onData(chunk);
			},
			onEnd() {
				const isComplete = listener.onEnd();
				recordEnded(hasFailed || !isComplete);
				return isComplete;
			},
			onFail(error, wasSent) {
				recordEnded(!isAborted);
				if (!isAborted && isConnectError(error)) {
					// Also after the request was sent: the upstream may have ended, and may start again under its id.
					entry.recordBroken();
				}

				const loss = !wasSent && isConnectError(error) ? describeLoss(error) : undefined;
				// A silent link may be this host's fault and says nothing of the upstream.
				if (!isAborted && (wasSent || loss === 'refused')) {
					paced?.recordFailure(loss === 'refused');
				}

				const isSuspect = !hasHead || entry.coldGate.forMs(now()) > 0;
				if (!isAborted && loss) {
					links.recordConnectFailure(id, loss);
				} else if (!isAborted && wasSent && isSuspect && isReset(error)) {
					links.recordBroken(id);
				}

				listener.onFail(error, wasSent);
			},
		});
		return {
			abort(reason, isFault) {
				isAborted = !isFault;
				running.abort(reason, isFault);
			},
			resume: running.resume,
		};
	};
}
