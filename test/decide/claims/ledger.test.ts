import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {type Claim} from '../../../src/decide/claims/claim.js';
import {createClaimLedger} from '../../../src/decide/claims/create-claim-ledger.js';
import {type LoadQuote} from '../../../src/decide/claims/load-quote.js';

const toClaim = (prefillTokens: number, priority = 1, upstreamId = 'u'): Claim => ({
	upstreamId, priority, prefillTokens, heldTokens: prefillTokens * 2,
});
const nobodyIsGone = () => false;
type Ledger = ReturnType<typeof createClaimLedger>;

/** Returns what a claim of a priority would be quoted, without leaving it in the ledger. */
function readQuote(ledger: Ledger, now: number, priority = 1, upstreamId = 'u'): LoadQuote {
	const quote = ledger.claim('reader', now, toClaim(0, priority, upstreamId), now);
	ledger.end('reader', now);
	return quote;
}

const empty = {
	inFlight: 0, aheadTokens: 0, heldTokens: 0, isQueueing: false,
};

/** Guards against a ledger that counts requests that have ended, or loses those under way. */
describe('the ledger of claims', () => {
	test.each<[string, (ledger: Ledger) => void, Partial<LoadQuote>]>([
		['nothing', () => undefined, empty],
		['a claim', ledger => ledger.claim('a', 1, toClaim(100), 0), {
			inFlight: 1, aheadTokens: 100, heldTokens: 200, isQueueing: true,
		}],
		['claims of two hosts with the same number', ledger => {
			ledger.claim('a', 1, toClaim(100), 0);
			ledger.claim('b', 1, toClaim(50), 0);
		}, {inFlight: 2, aheadTokens: 150}],
		['a less urgent claim, of which a part runs ahead', ledger => ledger.claim('a', 1, toClaim(100, 5), 0), {inFlight: 1, aheadTokens: 25, isQueueing: true}],
		['a more urgent claim', ledger => ledger.claim('a', 1, toClaim(100, 0), 0), {aheadTokens: 100}],
		['a claim at another upstream', ledger => ledger.claim('a', 1, toClaim(100, 1, 'other'), 0), empty],
		['a claim that is answered, twice', ledger => {
			ledger.claim('a', 1, toClaim(100), 0);
			ledger.recordAnswered('a', 1);
			ledger.recordAnswered('a', 1);
		}, {
			inFlight: 1, aheadTokens: 0, heldTokens: 200, isQueueing: false,
		}],
		['a claim that has ended, twice', ledger => {
			ledger.claim('a', 1, toClaim(100), 0);
			ledger.end('a', 1);
			ledger.end('a', 1);
			ledger.recordAnswered('a', 1);
		}, empty],
		['a claim that arrives twice', ledger => {
			ledger.claim('a', 1, toClaim(100), 0);
			ledger.claim('a', 1, toClaim(100), 1);
		}, {inFlight: 1, aheadTokens: 100, heldTokens: 200}],
		['claims of which the end of one was lost', ledger => {
			ledger.claim('a', 1, toClaim(100), 0);
			ledger.claim('a', 2, toClaim(10), 0);
			ledger.endBelow('a', 2);
		}, {inFlight: 1, aheadTokens: 10}],
		['a claim that arrives after its end', ledger => {
			ledger.endBelow('a', 2);
			ledger.claim('a', 1, toClaim(100), 0);
		}, empty],
		['ends of claims that are not known', ledger => {
			ledger.end('a', 1);
			ledger.recordAnswered('a', 2);
			ledger.endBelow('b', 5);
		}, empty],
	])('quotes %s', (_name, prepare, expected) => {
		const ledger = createClaimLedger();
		prepare(ledger);
		expect(readQuote(ledger, 2000)).toMatchObject(expected);
	});

	test('quotes a claim that arrives twice without itself', () => {
		const ledger = createClaimLedger();
		ledger.claim('a', 1, toClaim(100), 0);
		expect(ledger.claim('a', 1, toClaim(100), 1)).toMatchObject(empty);
	});

	test.each([
		['counts while nobody reports its end', 'a', 2900, {inFlight: 1, aheadTokens: 100}],
		['no longer counts as waiting after 3 s', 'a', 3100, {inFlight: 1, aheadTokens: 0, isQueueing: false}],
		['expires after 10 s', 'a', 10_100, empty],
		['of a host that is gone is kept while the host may not have been heard yet', 'gone', 1900, {inFlight: 1, aheadTokens: 100}],
		['of a host that is gone is forgotten', 'gone', 2100, empty],
	])('a claim %s', (_name, host, at, expected) => {
		const ledger = createClaimLedger();
		ledger.claim(host, 1, toClaim(100), 0);
		ledger.review(other => other === 'gone', at);
		expect(readQuote(ledger, at)).toMatchObject(expected);
	});

	test('says that it fills at first, and again after a time without claims', () => {
		const ledger = createClaimLedger();
		expect(ledger.claim('a', 1, toClaim(100), 1000).isFilling).toBe(true);
		expect(ledger.claim('a', 2, toClaim(100), 1599).isFilling).toBe(true);
		expect(ledger.claim('a', 3, toClaim(100), 1600).isFilling).toBe(false);
		ledger.endBelow('a', 4);
		ledger.review(nobodyIsGone, 2100);
		expect(ledger.claim('a', 4, toClaim(100), 2100).isFilling).toBe(false);
		ledger.end('a', 4);
		ledger.review(nobodyIsGone, 2900);
		expect(ledger.claim('a', 5, toClaim(100), 2900).isFilling).toBe(true);
	});

	test('takes the claims of a host that starts again with lower numbers once it was gone', () => {
		const ledger = createClaimLedger();
		ledger.endBelow('a', 1000);
		ledger.review(host => host === 'a', 5000);
		ledger.claim('a', 1, toClaim(100), 5001);
		expect(readQuote(ledger, 5002)).toMatchObject({inFlight: 1});
	});

	/** Messages are lost, arrive twice and overtake each other. Guards against sums that drift from the claims they stand for. */
	test('sums up exactly the claims held, never less than nothing, whatever arrives', () => {
		const message = fc.record({
			kind: fc.constantFrom('claim', 'answered', 'end', 'endBelow', 'review'),
			host: fc.constantFrom('a', 'b', 'c'),
			number: fc.integer({min: 1, max: 12}),
			tokens: fc.integer({min: 0, max: 5000}),
			priority: fc.integer({min: 0, max: 2}),
			upstreamId: fc.constantFrom('u', 'v'),
			afterMs: fc.integer({min: 0, max: 900}),
		});
		fc.assert(fc.property(fc.array(message, {maxLength: 60}), messages => {
			const ledger = createClaimLedger();
			let now = 0;
			for (const {kind, host, number, tokens, priority, upstreamId, afterMs} of messages) {
				now += afterMs;
				const record: Readonly<Record<typeof kind, () => void>> = {
					claim() {
						ledger.claim(host, number, toClaim(tokens, priority, upstreamId), now);
					},
					answered() {
						ledger.recordAnswered(host, number);
					},
					end() {
						ledger.end(host, number);
					},
					endBelow() {
						ledger.endBelow(host, number);
					},
					review() {
						ledger.review(other => other === 'c', now);
					},
				};
				record[kind]();
				const quotes = ['u', 'v'].map(id => readQuote(ledger, now, 9, id));
				for (const quote of quotes) {
					expect(Math.min(quote.inFlight, quote.aheadTokens, quote.heldTokens)).toBeGreaterThanOrEqual(0);
				}

				expect(quotes.reduce((sum, {inFlight}) => sum + inFlight, 0)).toBe(ledger.size());
			}

			ledger.review(nobodyIsGone, now + 20_000);
			expect(ledger.size()).toBe(0);
			for (const id of ['u', 'v']) {
				expect(readQuote(ledger, now + 20_001, 9, id)).toMatchObject(empty);
			}
		}), {seed: 7, numRuns: 300});
	});
});
