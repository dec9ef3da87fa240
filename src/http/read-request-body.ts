import {type IncomingMessage} from 'node:http';
import {type LimitReason} from '../callers/limit-reason.js';
import {type BodyBudget} from '../decide/bodies/body-budget.js';
import {isBodyTooSlow} from '../decide/bodies/is-body-too-slow.js';
import {Refusal} from '../errors/refusal.js';
import {toDelayMs} from '../util/to-delay-ms.js';
import {countReadBytes} from './count-read-bytes.js';
import {createChunkGatherer} from './create-chunk-gatherer.js';
import {createSocketPause} from './create-socket-pause.js';
import {type ReceivedBody} from './received-body.js';

/** A body waits for room for so long, all its waits together; then its request is refused. */
const maxWaitMs = 2000;
/** Bodies stall while others wait, so the latter ask again. */
const askAgainMs = 250;
const retryAfterMs = 1000;
/** Timers may fire this much early by the clock. */
const timerToleranceMs = 2;

/** Options of `readRequestBody`. */
type ReadBodyOptions = {
	readonly limitBytes: number;
	/** Longest time without a byte. */
	readonly pauseMs: number;
	/** Least rate over the whole time of the body, after `pauseMs`. */
	readonly minBytesPerS: number;
	/** Whole time of the body; unlimited by default. */
	readonly maxMs?: number;
	readonly budget: BodyBudget;
	/** Workspace or address to which the bytes are charged. */
	readonly owner: string;
	/** Ends the wait when it is aborted, with this refusal. */
	readonly stop?: {readonly signal: AbortSignal; readonly createRefusal: () => Refusal};
	/** Called when the request is refused because of a limit. */
	readonly onLimit: (reason: LimitReason) => void;
	readonly now: () => number;
};

/**
Reads the whole body of a request, in memory that is in proportion to its bytes. The socket is not read while the budget has no room.

@returns The body; `undefined` when the request has none.
@throws {Refusal} When the body is too long, stalls, is too slow, ends early, is given up for others, or gets no room in time.
*/
export async function readRequestBody(req: IncomingMessage, options: ReadBodyOptions): Promise<ReceivedBody | undefined> {
	const {limitBytes, pauseMs, minBytesPerS, maxMs = Number.POSITIVE_INFINITY, budget, owner, stop, onLimit, now} = options;
	const announced = req.headers['content-length'];
	const length = Number(announced ?? 0);
	if (length > limitBytes) {
		onLimit('body-too-large');
		throw new Refusal('too-large', `the body is over ${limitBytes} bytes`, 'no');
	}

	if (length === 0 && req.headers['transfer-encoding'] === undefined) {
		req.resume();
		return undefined;
	}

	return new Promise((resolve, reject) => {
		const pause = createSocketPause(req);
		const startedAt = now();
		let lastAt = startedAt;
		let size = 0;
		let hasEnded = false;
		let isSettled = false;
		let waitingSince: number | undefined;
		let waitedMs = 0;
		let askedBytes = 0;
		let askTimer: NodeJS.Timeout | undefined;

		const stopWaiting = (): void => {
			isSettled = true;
			clearTimeout(timer);
			clearTimeout(askTimer);
			stop?.signal.removeEventListener('abort', onAbort);
		};

		const fail = (refusal: Refusal, reason?: LimitReason): void => {
			if (isSettled) {
				return;
			}

			if (reason) {
				onLimit(reason);
			}

			stopWaiting();
			chunks.drop();
			account.close();
			req.removeAllListeners('data');
			pause.end();
			reject(refusal);
		};

		const failForRoom = (): void => {
			fail(new Refusal('not-ready', 'this host has no room for the body at present', 'no', retryAfterMs), 'no-room');
		};

		const onAbort = (): void => {
			fail(stop!.createRefusal());
		};

		const finish = (): void => {
			stopWaiting();
			account.complete();
			resolve({bytes: chunks.take(), release: account.close});
		};

		const endWait = (): void => {
			if (isSettled || waitingSince === undefined) {
				return;
			}

			const at = now();
			clearTimeout(askTimer);
			waitedMs += at - waitingSince;
			waitingSince = undefined;
			lastAt = at;
			account.receive(0, at);
			if (hasEnded) {
				finish();
			} else {
				pause.end();
			}
		};

		const askAgain = (): void => {
			const at = now();
			const result = account.take(askedBytes, at);
			if (result === 'granted') {
				endWait();
			} else if (result === 'refused' || waitedMs + at - waitingSince! >= maxWaitMs) {
				failForRoom();
			} else {
				askTimer = setTimeout(askAgain, askAgainMs);
			}
		};

		/** Asks for room; without it, reading stops. What has been read already is at most one buffer of the socket. */
		const ask = (bytes: number, at: number): void => {
			askedBytes = waitingSince === undefined ? bytes : askedBytes + bytes;
			const result = account.take(askedBytes, at);
			if (result === 'refused') {
				failForRoom();
			} else if (result === 'granted') {
				endWait();
			} else if (waitingSince === undefined) {
				waitingSince = at;
				pause.begin();
				askTimer = setTimeout(askAgain, askAgainMs);
			}
		};

		const check = (): void => {
			const at = now();
			const waitingMs = waitingSince === undefined ? 0 : at - waitingSince;
			const elapsedMs = at - startedAt - waitedMs - waitingMs;
			const idleMs = waitingSince === undefined ? at - lastAt : 0;
			const isTooSlow = isBodyTooSlow({
				receivedBytes: size, elapsedMs, graceMs: pauseMs, minBytesPerS,
			});
			if (idleMs >= pauseMs - timerToleranceMs || isTooSlow || elapsedMs >= maxMs - timerToleranceMs) {
				fail(new Refusal('slow-caller', 'the body did not arrive in time', 'no'), 'body-too-slow');
				return;
			}

			timer = setTimeout(check, toDelayMs(Math.min(pauseMs - idleMs, maxMs - elapsedMs)));
		};

		let timer = setTimeout(check, toDelayMs(Math.min(pauseMs, maxMs)));
		const account = budget.open({
			owner, length: announced === undefined ? undefined : length, now: startedAt, onGrant: endWait, onClose() {
				fail(new Refusal('slow-caller', 'the body was given up for other requests', 'no'), 'body-given-up');
			},
		});
		const chunks = createChunkGatherer(announced === undefined ? undefined : length, bytes => {
			ask(bytes, lastAt);
		});
		stop?.signal.addEventListener('abort', onAbort, {once: true});
		req.on('data', (chunk: Buffer) => {
			if (isSettled) {
				return;
			}

			lastAt = now();
			size += chunk.length;
			if (size > limitBytes) {
				fail(new Refusal('too-large', `the body is over ${limitBytes} bytes`, 'no'), 'body-too-large');
				return;
			}

			countReadBytes(chunk.length);
			account.receive(chunk.length, lastAt);
			chunks.append(chunk);
		});
		req.once('end', () => {
			hasEnded = true;
			if (!isSettled && waitingSince === undefined) {
				finish();
			}
		});
		req.once('error', () => {
			fail(new Refusal('slow-caller', 'the body ended early', 'no'));
		});
		req.once('close', () => {
			if (!hasEnded) {
				fail(new Refusal('slow-caller', 'the body ended early', 'no'));
			}
		});
	});
}
