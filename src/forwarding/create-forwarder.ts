import {chooseTarget} from '../decide/forwarding/choose-target.js';
import {closeCall, type CloseReason} from '../decide/forwarding/close-call.js';
import {decideNextStep} from '../decide/forwarding/next-step.js';
import {type WindowBudget} from '../decide/retries/window-budget.js';
import {type Ran} from '../errors/ran.js';
import {log} from '../observe/log.js';
import {type AnswerHead} from './answer-head.js';
import {type CallerCall} from './caller-call.js';
import {type CallerRequest} from './caller-request.js';
import {createEventSplitter} from './create-event-splitter.js';
import {type EventSplitter} from './event-splitter.js';
import {type Placed} from './placed.js';
import {sendOnce} from './send-once.js';
import {type SendOptions} from './send-options.js';
import {type SendOutcome} from './send-outcome.js';
import {type UpstreamBook} from './upstream-book.js';

const comeBackMs = 300;
const comeBackSpreadMs = 700;
/** An answer needs at least this long from the upstream to the caller. */
const leastLeftMs = 20;
/** An upstream that turned a request away gets no new ones for this long. */
const turnedAwayMs = 250;
/** An upstream that could not be reached gets no new requests for this long. */
const unreachedMs = 1500;
const brokenMs = 300;
/** Share of the time left after which an idempotent request without an answer is sent elsewhere. */
const secondTryShare = 0.45;

/** What the forwarder needs. */
type ForwarderOptions = {
	readonly book: UpstreamBook;
	readonly budgetOf: (service: string) => WindowBudget;
	/** Chooses an upstream of a service and how the request is sent there. */
	readonly place: (call: CallerCall, service: string, tried: ReadonlySet<string>) => Placed | undefined;
	readonly encode: (request: CallerRequest, options: SendOptions) => string[];
	readonly now: () => number;
	readonly random: () => number;
	readonly onEnd: (call: CallerCall, result: string, tookMs: number) => void;
};

/** What one request has been through. */
type Track = {
	readonly service: string;
	readonly tried: Set<string>;
	sends: number;
	runs: number;
	ran: Ran;
	lastReason: string;
	/** Set where a broken stream may go on elsewhere. */
	readonly splitter: EventSplitter | undefined;
};

/** Creates the function that forwards a caller's request and sees to its final answer. */
export function createForwarder(options: ForwarderOptions): (call: CallerCall) => Promise<void> {
	const {book, budgetOf, place, encode, now, random, onEnd} = options;

	const close = (call: CallerCall, track: Track, reason: CloseReason): void => {
		const refusal = closeCall({
			reason, ran: track.ran, detail: track.lastReason, retryAfterMs: comeBackMs + (random() * comeBackSpreadMs),
		});
		const tookMs = now() - call.receivedAt;
		log.info({
			requestId: call.request.id!, route: call.route.name, service: track.service, kind: refusal.kind, ran: refusal.ran,
			sends: track.sends, detail: track.lastReason, tookMs: Math.round(tookMs), begun: call.answer.hasBegun(),
		}, 'refused');
		call.answer.refuse(refusal);
		onEnd(call, refusal.kind, tookMs);
	};

	const noteOutcome = (outcome: SendOutcome, upstreamId: string, model: string | undefined): void => {
		if (outcome.kind === 'not-run') {
			const {head} = outcome;
			if (head?.status === 421 && head.weightVersion !== undefined && model !== undefined) {
				book.noteWeights(upstreamId, model, head.weightVersion);
				return;
			}

			book.avoid(upstreamId, now() + (head ? turnedAwayMs : unreachedMs));
		} else if (outcome.kind === 'broken') {
			book.avoid(upstreamId, now() + brokenMs);
		}
	};

	const attempt = async (call: CallerCall, track: Track, placed: Placed, endsAt: number): Promise<SendOutcome> => {
		const {request, route, body, answer} = call;
		const leftMs = endsAt - now();
		const stop = new AbortController();
		const giveUp = (): void => {
			stop.abort(new Error('the caller has gone'));
		};

		// A request that may not be repeated is finished for a caller that has gone, so that its outcome stands.
		const followsCaller = route.kind !== 'once';
		if (followsCaller) {
			call.signal.addEventListener('abort', giveUp, {once: true});
		}

		const endTimer = setTimeout(() => {
			stop.abort(new Error('time is over'));
		}, leftMs);
		const canTryAgain = route.kind === 'idempotent' && track.runs + 1 < route.maxAttempts;
		const secondTimer = canTryAgain
			? setTimeout(() => {
				stop.abort(new Error('no answer in the time for one attempt'));
			}, leftMs * secondTryShare)
			: undefined;
		const {splitter} = track;
		try {
			return await sendOnce({
				requestId: request.id!,
				answer,
				signal: stop.signal,
				filter: chunk => splitter ? splitter.push(chunk) : chunk,
				flush: () => splitter?.flush() ?? Buffer.alloc(0),
				send: listener => book.send(placed.upstream.id, {
					method: request.method,
					target: request.target,
					headers: encode(request, {...placed.options, deadlineMs: leftMs, resumeAfter: splitter?.lastId() ?? request.resumeAfter}),
					body,
				}, {waitingTokens: placed.missingTokens, heldTokens: placed.heldTokens}, listener),
				onDelivery(head: AnswerHead) {
					clearTimeout(secondTimer);
					log.info({
						requestId: request.id!, upstream: placed.upstream.id, status: head.status, afterMs: Math.round(now() - call.receivedAt),
					}, 'answer begins');
				},
			});
		} finally {
			clearTimeout(endTimer);
			clearTimeout(secondTimer);
			call.signal.removeEventListener('abort', giveUp);
		}
	};

	const finish = (call: CallerCall, track: Track, result: string): void => {
		const tookMs = now() - call.receivedAt;
		log.info({
			requestId: call.request.id!, route: call.route.name, service: track.service, result, sends: track.sends, tookMs: Math.round(tookMs),
		}, 'ended');
		onEnd(call, result, tookMs);
	};

	return async call => {
		const {request, route, answer, signal} = call;
		const service = chooseTarget(route.targets, random());
		const track: Track = {
			service: service ?? '', tried: new Set(), sends: 0, runs: 0, ran: 'no', lastReason: 'no service takes requests of this route',
			splitter: route.kind === 'stream' && route.isResumable ? createEventSplitter() : undefined,
		};
		const endsAt = call.receivedAt + Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		if (service === undefined) {
			close(call, track, 'no-upstream');
			return;
		}

		const budget = budgetOf(service);
		budget.earn(now());
		for (;;) {
			if (signal.aborted && (route.kind !== 'once' || track.sends === 0)) {
				answer.break();
				finish(call, track, 'caller-gone');
				return;
			}

			if (endsAt - now() < leastLeftMs) {
				close(call, track, 'time-over');
				return;
			}

			const placed = place(call, service, track.tried);
			if (!placed) {
				close(call, track, 'no-upstream');
				return;
			}

			if (track.sends > 0 && !budget.spend(now())) {
				track.lastReason = `${track.lastReason}; the retry budget is spent`;
				close(call, track, 'upstream-failed');
				return;
			}

			log.info({
				requestId: request.id!, route: route.name, service, upstream: placed.upstream.id, sends: track.sends,
				inFlight: placed.inFlight, missingTokens: placed.missingTokens, reason: placed.reason, leftMs: Math.round(endsAt - now()),
			}, 'placed');
			const outcome = await attempt(call, track, placed, endsAt);
			track.sends++;
			if (outcome.kind === 'answered') {
				finish(call, track, 'answered');
				return;
			}

			noteOutcome(outcome, placed.upstream.id, request.prompt?.model);
			track.tried.add(placed.upstream.id);
			if (outcome.kind === 'broken') {
				track.runs++;
				track.ran = 'unknown';
			} else if (outcome.kind === 'failed-answer') {
				track.runs++;
				track.ran = 'yes';
			}

			track.lastReason = outcome.kind === 'failed-answer' ? `upstream answered ${outcome.head.status}` : outcome.reason;
			log.info({
				requestId: request.id!, upstream: placed.upstream.id, outcome: outcome.kind, detail: track.lastReason, runs: track.runs,
			}, 'send failed');
			if (signal.aborted && route.kind !== 'once') {
				continue;
			}

			const next = decideNextStep(outcome, {
				kind: route.kind, isResumable: route.isResumable, maxAttempts: route.maxAttempts, runs: track.runs, sends: track.sends,
				hasBegun: answer.hasBegun(), canResume: !answer.hasBegun() || track.splitter?.lastId() !== undefined,
			});
			if (next === 'deliver-failure' && outcome.kind === 'failed-answer' && outcome.head.isSigned) {
				answer.begin(outcome.head.status, outcome.head.headers);
				answer.write(outcome.body);
				answer.end();
				finish(call, track, `upstream-${outcome.head.status}`);
				return;
			}

			if (next !== 'send-again') {
				close(call, track, endsAt - now() < leastLeftMs ? 'time-over' : 'upstream-failed');
				return;
			}

			track.splitter?.reset();
		}
	};
}
