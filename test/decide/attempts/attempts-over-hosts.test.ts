// Guards against docs/incidents/more-upstreams-than-a-route-allows.md: random hosts, cuts and failures.
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {limitAttempts} from '../../../src/decide/attempts/limit-attempts.js';
import {settleGrant} from '../../../src/decide/attempts/settle-grant.js';
import {type SpentAttempts} from '../../../src/decide/attempts/spent-attempts.js';
import {type StatedAttempts} from '../../../src/decide/attempts/stated-attempts.js';
import {decideRetry} from '../../../src/decide/forwarding/decide-retry.js';
import {chooseHelper} from '../../../src/decide/relay/choose-helper.js';
import {createAttemptTracker} from '../../../src/forwarding/create-attempt-tracker.js';
import {type AttemptTracker} from '../../../src/forwarding/attempt-tracker.js';
import {type SendOutcome} from '../../../src/forwarding/send-outcome.js';

const head = {
	status: 503, requestId: 'r', isSigned: false, isNotRun: true, isMerged: false, isEncoded: false, upstreamId: undefined, weightVersion: undefined, framing: 'length' as const,
	isCloseAnnounced: false, retryAfterMs: undefined, announcement: {requestsPerS: undefined, turnedAwayPerS: undefined, isLeaving: false}, mediaType: undefined, headers: [],
};

const outcomes: Readonly<Record<string, SendOutcome>> = {
	unsent: {
		kind: 'not-run', reason: '', head: undefined, isGivenUp: false,
	},
	refused: {
		kind: 'not-run', reason: '', head, isGivenUp: false,
	},
	failed: {kind: 'failed-answer', head, body: Buffer.alloc(0)},
	broken: {
		kind: 'broken', reason: '', isGivenUp: false, received: undefined,
	},
};

/** One step of a host: what a send meets; `cut` where the host hands the request on. */
type Step = keyof typeof outcomes | 'cut';
/** How another host answers: with what it has spent, or without; `earlier` is a host of an earlier build. */
type HelperKind = 'states' | 'dies' | 'earlier';
type Attempt = {readonly step: Step; readonly helper: HelperKind};

/** What upstreams have seen. */
type Seen = {runs: number; sends: number};

const decide = (tracker: AttemptTracker, outcome: SendOutcome): string => decideRetry(outcome, {
	kind: 'idempotent', isResumable: false, spent: tracker.spent(), limits: tracker.limits, hasBegun: false, canResume: true,
});

/** Sends from one host until it gives up or the steps are over; returns how the last send ended. */
function play(tracker: AttemptTracker, steps: Attempt[], seen: Seen, isRelayed: boolean, maxAttempts: number): SendOutcome {
	for (;;) {
		const attempt = steps.shift();
		if (!attempt) {
			return outcomes.refused!;
		}

		const {step, helper} = attempt;
		let outcome: SendOutcome;
		if (step === 'cut') {
			if (isRelayed || (helper === 'earlier' && tracker.spent().runs > 0)) {
				return outcomes.refused!;
			}

			outcome = handOn(tracker, helper, steps, seen, maxAttempts);
		} else {
			tracker.begin(`i-${seen.sends}`);
			outcome = outcomes[step]!;
			seen.sends += step === 'unsent' ? 0 : 1;
			seen.runs += step === 'failed' || step === 'broken' ? 1 : 0;
			tracker.settle(outcome);
		}

		if (decide(tracker, outcome) !== 'send-again') {
			return outcome;
		}
	}
}

function handOn(tracker: AttemptTracker, helper: HelperKind, steps: Attempt[], seen: Seen, maxAttempts: number): SendOutcome {
	const spent = tracker.spent();
	const limits = tracker.grant(helper !== 'earlier');
	const stated: StatedAttempts = helper === 'earlier' ? limitAttempts({maxAttempts, isRelayed: false, stated: undefined}) : {spent, limits};
	const other = createAttemptTracker(limitAttempts({maxAttempts, isRelayed: true, stated}));
	const runsBefore = seen.runs;
	const last = play(other, steps, seen, true, maxAttempts);
	// A host that may have run the request says so, however its last send ended.
	const outcome = last.kind === 'not-run' && seen.runs > runsBefore ? outcomes.broken! : last;
	if (helper === 'dies') {
		tracker.settleGrant(outcomes.broken!, undefined);
		return outcomes.broken!;
	}

	tracker.settleGrant(outcome, helper === 'states' ? other.spent() : undefined);
	return outcome;
}

const stepArbitrary = fc.constantFrom<Step>('unsent', 'refused', 'failed', 'broken', 'cut');
const steps = (helpers: readonly HelperKind[]) => fc.array(fc.record({step: stepArbitrary, helper: fc.constantFrom(...helpers)}), {minLength: 40, maxLength: 60});

describe('the attempts of one request over several hosts', () => {
	test('never exceed the limits, whatever fails and whoever answers', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 5}), steps(['states', 'dies', 'earlier']), (maxAttempts, attempts) => {
			const seen = {runs: 0, sends: 0};
			const tracker = createAttemptTracker(limitAttempts({maxAttempts, isRelayed: false, stated: undefined}));
			play(tracker, [...attempts], seen, false, maxAttempts);
			expect(seen.runs).toBeLessThanOrEqual(maxAttempts);
			expect(tracker.spent().runs).toBeGreaterThanOrEqual(seen.runs);
		}), {seed: 41, numRuns: 2000});
	});

	test('are all used before a request is given up, where hosts say what they have spent', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 5}), steps(['states']), (maxAttempts, attempts) => {
			const seen = {runs: 0, sends: 0};
			const tracker = createAttemptTracker(limitAttempts({maxAttempts, isRelayed: false, stated: undefined}));
			const remaining = [...attempts];
			play(tracker, remaining, seen, false, maxAttempts);
			const {limits} = tracker;
			const spent = tracker.spent();
			expect(spent).toMatchObject(seen);
			expect(seen.sends).toBeLessThanOrEqual(limits.sends);
			expect(remaining.length === 0 || spent.runs === limits.runs || spent.sends === limits.sends || spent.unsent === limits.unsent).toBe(true);
		}), {seed: 42, numRuns: 2000});
	});
});

describe('what counts as spent after another host has had a request', () => {
	const before: SpentAttempts = {
		runs: 1, sends: 1, unsent: 2, upstreams: ['i-0'],
	};
	const granted = {runs: 2, sends: 4, unsent: 10};
	test.each([
		['nothing, where it could not be reached', {outcome: 'unsent', stated: undefined}, {...before, unsent: 3}],
		['all that was granted, where it does not say', {outcome: 'unknown', stated: undefined}, {...granted, upstreams: ['i-0']}],
		['one send, where it says only that nothing ran', {outcome: 'not-run', stated: undefined}, {...before, sends: 2}],
		['what it says', {
			outcome: 'unknown', stated: {
				runs: 2, sends: 3, unsent: 2, upstreams: ['i-1'],
			},
		}, {
			runs: 2, sends: 3, unsent: 2, upstreams: ['i-0', 'i-1'],
		}],
		['no less than before', {
			outcome: 'not-run', stated: {
				runs: 0, sends: 0, unsent: 0, upstreams: [],
			},
		}, before],
		['no more than was granted', {
			outcome: 'unknown', stated: {
				runs: 99, sends: 99, unsent: 99, upstreams: [],
			},
		}, {...granted, upstreams: ['i-0']}],
	] as const)('%s', (_name, {outcome, stated}, expected) => {
		expect(settleGrant({
			before, granted, outcome, stated,
		})).toEqual(expected);
	});
});

describe('a host that has had the request already', () => {
	const candidate = (host: string, isAvoided: boolean) => ({
		host, domain: 'domain-a', inFlight: 0, isAvoided,
	});
	test.each([
		['is asked last', [candidate('a', true), candidate('b', false)], 'b'],
		['is asked where there is no other', [candidate('a', true)], 'a'],
	] as const)('%s', (_name, candidates, expected) => {
		expect(chooseHelper(candidates, 'domain-a', () => 0)).toBe(expected);
	});
});
