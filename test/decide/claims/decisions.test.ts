import {describe, expect, test} from 'vitest';
import {applyQuote} from '../../../src/decide/claims/apply-quote.js';
import {createClaimSwitch} from '../../../src/decide/claims/create-claim-switch.js';
import {createOwnerPauses} from '../../../src/decide/claims/create-owner-pauses.js';
import {createQuoteMemory} from '../../../src/decide/claims/create-quote-memory.js';
import {decideAfterClaim} from '../../../src/decide/claims/decide-after-claim.js';
import {type UpstreamView} from '../../../src/decide/forwarding/upstream-view.js';

const view: UpstreamView = {
	upstream: {
		id: 'u', service: 's', address: '', domain: 'd', slots: 32, isLeaving: false, startedAt: undefined, softwareVersion: '', weights: new Map(),
	},
	inFlight: 5, waitingTokens: 900, isQueueing: true, heldTokens: 50,
	isUnresponsive: false, isReachable: true, isEjected: false, failureShare: 0, freeConnections: 100, requestsPerS: undefined, closedForMs: 0,
};
const quote = {
	inFlight: 2, aheadTokens: 3000, isQueueing: false, heldTokens: 10, isFilling: false,
};

/** Guards against a request that keeps a place with a long queue, and against claims that gain nothing. */
describe('after a claim', () => {
	test.each<[string, readonly number[], number | undefined, ReturnType<typeof decideAfterClaim>]>([
		['the place is kept where it is the best', [100], 150, 'keep-best'],
		['the place is kept where the next one is better by less than a claim costs', [100], 91, 'keep-best'],
		['the next candidate is tried where it is better', [100], 89, 'try-next'],
		['a third candidate is tried where it is better than the best of two', [300, 100], 50, 'try-next'],
		['the best of two is kept where the third is worse than one of them', [300, 100], 150, 'keep-best'],
		['a fourth candidate is not tried', [300, 200, 100], 10, 'keep-best'],
		['the place is kept where there is no other candidate', [1000], undefined, 'keep-best'],
	])('%s', (_name, quotedMs, nextMs, expected) => {
		expect(decideAfterClaim({quotedMs, nextMs})).toBe(expected);
	});
});

/** Guards against claims in deployments whose reports are recent enough, and against hosts that switch to and fro. */
describe('places are claimed', () => {
	test.each([
		['from a quarter of the objective on', [99, 100, 101], [false, false, true]],
		['down to an eighth of the objective', [101, 80, 51, 50, 80, 101], [true, true, true, false, false, true]],
		['nowhere without unreported work', [0, 0], [false, false]],
	])('%s', (_name, unseenMs, expected) => {
		const isUsed = createClaimSwitch();
		expect(unseenMs.map(ms => isUsed(ms, 400))).toEqual(expected);
	});
});

/** Guards against requests that wait for an owner that is frozen or gone, one after another. */
describe('an owner that does not answer', () => {
	test('is not asked for a while, longer after each miss in a row', () => {
		const pauses = createOwnerPauses();
		expect(pauses.isPaused('a', 0)).toBe(false);
		pauses.recordMiss('a', 0, 15);
		expect([15, 214, 215].map(at => pauses.isPaused('a', at))).toEqual([true, true, false]);
		expect(pauses.isPaused('b', 15)).toBe(false);
		pauses.recordMiss('a', 215, 230);
		expect([629, 630].map(at => pauses.isPaused('a', at))).toEqual([true, false]);
	});

	test('is paused once for claims that were under way together', () => {
		const pauses = createOwnerPauses();
		pauses.recordMiss('a', 0, 15);
		pauses.recordMiss('a', 5, 20);
		expect(pauses.isPaused('a', 215)).toBe(false);
	});

	test('is asked again at once after an answer, and its pauses begin anew', () => {
		const pauses = createOwnerPauses();
		pauses.recordMiss('a', 0, 15);
		pauses.recordMiss('a', 300, 315);
		pauses.recordAnswer('a');
		expect(pauses.isPaused('a', 316)).toBe(false);
		pauses.recordMiss('a', 400, 415);
		expect(pauses.isPaused('a', 615)).toBe(false);
	});

	test('is asked again after 3.2 s at the latest', () => {
		const pauses = createOwnerPauses();
		for (let count = 0; count < 20; count++) {
			pauses.recordMiss('a', count * 10_000, count * 10_000);
		}

		expect([193_199, 193_200].map(at => pauses.isPaused('a', at))).toEqual([true, false]);
	});
});

describe('a quote', () => {
	test('takes the place of the reported load', () => {
		expect(applyQuote(view, quote)).toEqual({
			...view, inFlight: 2, waitingTokens: 3000, isQueueing: false, heldTokens: 10,
		});
	});

	/** Guards against a new owner whose empty ledger draws all requests to a busy upstream. */
	test('of a ledger that fills counts where it is larger than the reported load', () => {
		expect(applyQuote(view, {...quote, isFilling: true})).toEqual({...view, waitingTokens: 3000});
	});

	test('is remembered for 200 ms, for the upstream and priority that it was given for', () => {
		const memory = createQuoteMemory();
		memory.record('u', 1, quote, 1000);
		expect(memory.apply(view, 1, 1199).waitingTokens).toBe(3000);
		expect(memory.apply(view, 1, 1200)).toBe(view);
		expect(memory.apply(view, 0, 1000)).toBe(view);
		expect(memory.apply({...view, upstream: {...view.upstream, id: 'v'}}, 1, 1000).waitingTokens).toBe(900);
	});
});
