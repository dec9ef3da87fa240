import {randomUUID} from 'node:crypto';
import {type LedgerTask} from '../commitments/ledger-task.js';
import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type StoredResponse} from '../decide/commitments/stored-response.js';
import {UpstreamResponseError} from '../errors/upstream-response-error.js';
import {Refusal} from '../errors/refusal.js';
import {type DecisionLog} from '../observe/decision-log.js';
import {type UpstreamSettings} from '../settings/upstream-settings.js';
import {callPlainService} from '../upstreams/call-plain-service.js';
import {computeSha256} from '../util/compute-sha256.js';
import {sleep} from '../util/sleep.js';
import {type PlainResponse} from './plain-response.js';
import {type PlainRequest} from './plain-request.js';
import {type PlainRunner} from './plain-runner.js';

/** Interval at which a request checks whether an earlier one with the same key has ended. */
const runningClaimPollMs = 150;
const defaultRetryAfterMs = 1000;

/** Options of `createAtMostOnceRunner`. */
type AtMostOnceRunnerOptions = {
	/** Returns the name and incarnation of this host, which identify the holder of a claim. */
	readonly holder: () => string;
	/** Returns whether the host that holds a claim may still be running its request. */
	readonly isHolderUp: (holder: string) => boolean;
	readonly ledger: LedgerTask;
	/** Returns the upstreams that accept new requests, best first. */
	readonly listUsable: (upstreams: readonly UpstreamSettings[]) => readonly UpstreamSettings[];
	readonly decisions: DecisionLog;
	/** Called before the request is sent; tests pause the host here. */
	readonly beforeSend: () => Promise<void>;
};

/**
Creates the function that runs requests which may not be repeated. The claim is stored at the platform before the first
byte is sent; only the holder of the claim sends the request, and only once.
*/
export function createAtMostOnceRunner(options: AtMostOnceRunnerOptions): PlainRunner {
	const {holder, isHolderUp, ledger, listUsable, decisions, beforeSend} = options;

	const recordDecision = (req: PlainRequest, what: string, reason: string): void => {
		decisions.record({requestId: req.requestId, what, reason});
	};

	/** Claims the key before the deadline. A claim that is granted later is released. */
	const claimBeforeDeadline = async (claim: IdempotencyClaim, deadlineAt: number): Promise<ClaimResult> => {
		const pendingClaim = ledger.claim(claim);
		const deadlineTimer = sleep(deadlineAt - Date.now()).then(() => 'late' as const);
		let claimResult: ClaimResult | 'late';
		try {
			claimResult = await Promise.race([pendingClaim, deadlineTimer]);
		} catch (error) {
			// The claim may still reach the platform; releasing it keeps the key usable.
			ledger.settle({...claim, state: 'released'});
			throw error;
		}

		if (claimResult === 'late') {
			ledger.settle({...claim, state: 'released'});
			throw new Refusal('deadline', 'the idempotency key could not be claimed before the deadline', 'no', defaultRetryAfterMs);
		}

		return claimResult;
	};

	const settleWithResponse = async (claim: IdempotencyClaim, {status, contentType, body}: PlainResponse): Promise<void> => {
		const storedResponse = await ledger.storeResponse(claim, {status, contentType, body});
		ledger.settle({...claim, state: 'done', answer: storedResponse});
	};

	/** Sends the request of a granted claim. Tries the next upstream only if nothing was sent to the previous one. */
	const send = async (req: PlainRequest, claim: IdempotencyClaim): Promise<PlainResponse> => {
		await beforeSend();
		for (const upstream of listUsable(req.service.upstreams)) {
			recordDecision(req, 'send', `claim ${claim.id} to upstream ${upstream.name}`);
			try {
				const response = await callPlainService(upstream.url, req, req.service.limits.deadlineMs);
				void settleWithResponse(claim, response);
				return response;
			} catch (error) {
				if (!(error instanceof UpstreamResponseError) || error.mayHaveRun) {
					ledger.settle({...claim, state: 'unknown'});
					throw new Refusal('outcome-unknown', 'the service sent no complete response; it may have run the request', 'unknown');
				}
			}
		}

		ledger.settle({...claim, state: 'released'});
		throw new Refusal('no-upstream', 'no upstream of the service could be reached', 'no', defaultRetryAfterMs);
	};

	/** Resends a request that may have run, to upstreams that do not run a known idempotency key again. */
	const resend = async (req: PlainRequest, claim: IdempotencyClaim): Promise<PlainResponse> => {
		const keyCheckingUpstreams = listUsable(req.service.upstreams.filter(upstream => upstream.checksKeys));
		for (const upstream of keyCheckingUpstreams) {
			recordDecision(req, 'send', `claim ${claim.id} again to upstream ${upstream.name}, which checks keys`);
			try {
				const response = await callPlainService(upstream.url, req, req.deadlineAt - Date.now());
				void settleWithResponse(claim, response);
				return response;
			} catch (error) {
				recordDecision(req, 'failed', `upstream ${upstream.name}: ${String(error)}`);
			}
		}

		throw new Refusal('outcome-unknown', 'an earlier request with this key may have run', 'unknown');
	};

	const replay = async (req: PlainRequest, storedResponse: StoredResponse): Promise<PlainResponse> => {
		recordDecision(req, 'replay', 'a request with this key has completed; its response is replayed');
		const body = await ledger.readResponseBody(storedResponse);
		if (body === undefined) {
			throw new Refusal('outcome-unknown', `the request completed with status ${storedResponse.status}; its response is no longer stored`, 'yes');
		}

		return {
			status: storedResponse.status, contentType: storedResponse.contentType, body, isReplay: true,
		};
	};

	return async req => {
		const claim: IdempotencyClaim = {
			key: computeSha256(JSON.stringify([req.workspace, req.service.service, req.idempotencyKey])),
			digest: computeSha256(JSON.stringify([req.method, req.path, req.body])),
			id: randomUUID(),
			holder: holder(),
		};
		for (;;) {
			const claimResult = await claimBeforeDeadline(claim, req.deadlineAt);
			switch (claimResult.kind) {
				case 'granted': {
					return send(req, claim);
				}

				case 'done': {
					return replay(req, claimResult.answer);
				}

				case 'reused': {
					throw new Refusal('key-reused', 'the idempotency key was used for another request', 'no');
				}

				case 'unknown': {
					return resend(req, {...claim, id: claimResult.id});
				}

				case 'given-up': {
					throw new Refusal('deadline', 'the claim was given up', 'no', defaultRetryAfterMs);
				}

				case 'running': {
					if (!isHolderUp(claimResult.holder)) {
						recordDecision(req, 'unknown', `host ${claimResult.holder} left, failed or restarted while it held the claim`);
						ledger.settle({...claim, id: claimResult.id, state: 'unknown'});
						return resend(req, {...claim, id: claimResult.id});
					}

					if (Date.now() + runningClaimPollMs >= req.deadlineAt) {
						throw new Refusal('outcome-unknown', 'an earlier request with this key is still running', 'unknown', defaultRetryAfterMs);
					}

					await sleep(runningClaimPollMs);
				}
			}
		}
	};
}
