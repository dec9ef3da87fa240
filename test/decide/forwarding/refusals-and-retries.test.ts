import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {limitAttempts} from '../../../src/decide/attempts/limit-attempts.js';
import {createFinalRefusal} from '../../../src/decide/forwarding/create-final-refusal.js';
import {decideRetry} from '../../../src/decide/forwarding/decide-retry.js';
import {createSlidingWindowRetryBudget} from '../../../src/decide/retries/create-sliding-window-retry-budget.js';
import {errorStatuses} from '../../../src/errors/error-statuses.js';
import {type RouteKind} from '../../../src/forwarding/route-kind.js';
import {type SendOutcome} from '../../../src/forwarding/send-outcome.js';

const head = {
	status: 500, requestId: 'r', isSigned: true, isNotRun: false, isMerged: false, isEncoded: false, upstreamId: undefined, weightVersion: undefined, framing: 'length' as const,
	isCloseAnnounced: false, retryAfterMs: undefined, announcement: {requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving: false}, mediaType: undefined, headers: [],
};
const notRun: SendOutcome = {
	kind: 'not-run', reason: '', head: undefined, isGivenUp: false,
};
const broken: SendOutcome = {
	kind: 'broken', reason: '', isGivenUp: false, received: undefined,
};
const failed: SendOutcome = {kind: 'failed-answer', head, body: Buffer.alloc(0)};

describe('the final refusal', () => {
	test('has a status that promises that the request was not run only where that is known', () => {
		const notRunStatuses = new Set([408, 421, 429, 503]);
		const reasons = ['no-upstream', 'overloaded', 'time-over', 'upstream-failed'] as const;
		for (const reason of reasons) {
			for (const ran of ['no', 'yes', 'unknown'] as const) {
				const refusal = createFinalRefusal({
					reason, ran, detail: '', retryAfterMs: 100,
				});
				expect([reason, ran, notRunStatuses.has(errorStatuses[refusal.kind].status)]).toEqual([reason, ran, ran === 'no']);
				expect(refusal.ran).toBe(ran);
			}
		}
	});
});

describe('the retry decision', () => {
	const progress = {
		kind: 'idempotent' as RouteKind, isResumable: false, maxAttempts: 2, runs: 1, sends: 1, unsent: 0, hasBegun: false, canResume: true,
	};
	const decide = (outcome: SendOutcome, {maxAttempts, runs, sends, unsent, ...rest}: typeof progress) => decideRetry(outcome, {
		...rest, spent: {runs, sends, unsent}, limits: limitAttempts({maxAttempts, isRelayed: false, stated: undefined}).limits,
	});

	test.each([
		['an idempotent request without a whole response', broken, {}, 'send-again'],
		['an idempotent request without a whole response at its last attempt', broken, {runs: 2}, 'close'],
		['an idempotent request that failed at its last attempt', failed, {runs: 2}, 'deliver-failure'],
		['an idempotent request whose response broke off after it began', broken, {hasBegun: true}, 'close'],
		['a request that may run only once, without a whole response', broken, {kind: 'once'}, 'close'],
		['a request that may run only once and failed', failed, {kind: 'once'}, 'deliver-failure'],
		['a request that may run only once and was not run', notRun, {kind: 'once', runs: 0}, 'send-again'],
		['a request that was not run at its last allowed send', notRun, {runs: 0, sends: 5}, 'close'],
		['a request that was not sent at its last allowed connection', notRun, {runs: 0, sends: 0, unsent: 16}, 'close'],
		['a stream that can\'t be resumed', broken, {kind: 'stream'}, 'close'],
		['a stream that can be resumed', broken, {kind: 'stream', isResumable: true, hasBegun: true}, 'send-again'],
		['a stream whose last event id is unknown', broken, {
			kind: 'stream', isResumable: true, hasBegun: true, canResume: false,
		}, 'close'],
	] as const)('after %s', (_, outcome, changed, expected) => {
		expect(decide(outcome, {...progress, ...changed})).toBe(expected);
	});

	test('never repeats a request that may run only once and may have run', () => {
		fc.assert(fc.property(
			fc.record({
				isResumable: fc.boolean(), maxAttempts: fc.integer({min: 1, max: 9}), runs: fc.nat(9), sends: fc.nat(9), unsent: fc.nat(20), hasBegun: fc.boolean(), canResume: fc.boolean(),
			}),
			fc.constantFrom(broken, failed),
			(randomProgress, outcome) => decide(outcome, {...randomProgress, kind: 'once'}) !== 'send-again',
		), {seed: 2});
	});
});

describe('the retry budget of all hosts', () => {
	const event = fc.record({host: fc.nat(3), gapMs: fc.nat(400), isRetry: fc.boolean()});
	test('holds in every window, for any order of requests and retries', () => {
		fc.assert(fc.property(fc.array(event, {maxLength: 400}), events => {
			const [ratio, slack, windowMs, hosts] = [0.2, 8, 10_000, 4];
			const budgets = Array.from({length: hosts}, () => createSlidingWindowRetryBudget({
				limits: () => ({ratio, slack}), windowMs, hosts: () => hosts,
			}));
			const requestTimes: number[] = [];
			const retryTimes: number[] = [];
			let now = 0;
			for (const {host, gapMs, isRetry} of events) {
				now += gapMs;
				if (!isRetry) {
					requestTimes.push(now);
					budgets[host]!.deposit(now);
				} else if (budgets[host]!.tryWithdraw(now)) {
					retryTimes.push(now);
				}
			}

			// The limit applies to windows with any start; a window that starts at a retry is the worst case. The requests that allowed its
			// retries may have arrived up to one window earlier, so they are also counted in the window before and in the one halfway
			// between. One more retry per host is tolerated.
			return retryTimes.every(from => {
				const within = (times: readonly number[]): number => times.filter(time => time >= from && time < from + windowMs).length;
				const before = (times: readonly number[]): number => times.filter(time => time >= from - windowMs && time < from).length;
				const inHalfShiftedWindow = requestTimes.filter(time => time >= from - (windowMs / 2) && time < from + (windowMs / 2)).length;
				return within(retryTimes) <= (ratio * Math.max(within(requestTimes), before(requestTimes), inHalfShiftedWindow)) + slack + hosts;
			});
		}), {seed: 3, numRuns: 300});
	});

	test('keeps retries within the ratio while requests arrive steadily', () => {
		const budget = createSlidingWindowRetryBudget({
			limits: () => ({ratio: 0.2, slack: 0}), windowMs: 10_000, hosts: () => 1,
		});
		const retryTimes: number[] = [];
		for (let now = 0; now < 60_000; now += 10) {
			budget.deposit(now);
			if (budget.tryWithdraw(now)) {
				retryTimes.push(now);
			}
		}

		for (let from = 0; from < 50_000; from += 100) {
			expect(retryTimes.filter(time => time >= from && time < from + 10_000).length).toBeLessThanOrEqual(0.2 * 1000);
		}
	});
});
