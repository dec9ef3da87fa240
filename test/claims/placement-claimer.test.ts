import {describe, expect, test} from 'vitest';
import {type HeldClaim} from '../../src/claims/claim-task.js';
import {createPlacementClaimer} from '../../src/claims/create-placement-claimer.js';
import {type LoadQuote} from '../../src/decide/claims/load-quote.js';
import {type UpstreamView} from '../../src/decide/forwarding/upstream-view.js';
import {type AdmittedRequest} from '../../src/forwarding/admitted-request.js';
import {createPlacementFinder} from '../../src/forwarding/create-placement-finder.js';
import {type ForwardingProgress} from '../../src/forwarding/forwarding-progress.js';
import {type Placement} from '../../src/forwarding/placement.js';
import {type PlacementClaims} from '../../src/forwarding/placement-claims.js';

const quoteOf = (aheadTokens: number): LoadQuote => ({
	inFlight: 1, aheadTokens, isQueueing: aheadTokens > 0, heldTokens: 0, isFilling: false,
});
const admitted = {request: {id: 'r'}, route: {name: 'route', objectiveMs: 400}, receivedAt: 0} as unknown as AdmittedRequest;
const createProgress = () => ({
	service: 's', endsAt: 10_000, paidSends: 0, attempts: {spent: () => ({runs: 0, sends: 0})}, lastReason: '',
}) as unknown as ForwardingProgress;

/** Creates a claimer over upstreams with reported waits, and quoted waits where their owners answer, in milliseconds. */
function createCase(upstreams: ReadonlyArray<readonly [id: string, reportedMs: number, quotedMs?: number | undefined]>, {unseenMs = 200} = {}) {
	const events: string[] = [];
	const outcomes: string[] = [];
	/** Waiting tokens that the choice took from quotes; -1 without one. */
	const known: number[] = [];
	const hold = (id: string): HeldClaim => ({
		recordAnswered() {
			events.push(`answered ${id}`);
		},
		end() {
			events.push(`end ${id}`);
		},
	});
	const toPlacement = (index: number, firstByteMs: number, isClaimable: boolean, isQueueing: boolean): Placement => ({
		upstream: {id: upstreams[index]![0], domain: 'd'}, missingTokens: 10, heldTokens: 20, priority: 1, firstByteMs, unseenMs, isQueueing,
		claimable: isClaimable
			? {
				rankMs: firstByteMs,
				waitMs: firstByteMs,
				predictWithQuote: (quote: LoadQuote) => toPlacement(index, quote.aheadTokens, true, quote.isQueueing),
				next: () => index + 1 < upstreams.length ? toPlacement(index + 1, upstreams[index + 1]![1], true, false) : undefined,
			}
			: undefined,
	} as unknown as Placement);
	const place = (_admitted: AdmittedRequest, _progress: unknown, claims?: PlacementClaims): Placement | undefined => {
		const isClaimable = claims?.isUsed(unseenMs) ?? false;
		events.push(isClaimable ? 'place for claims' : 'place by reports');
		for (const [id] of isClaimable ? upstreams : []) {
			known.push(claims!.applyQuotes({upstream: {id}, waitingTokens: -1} as UpstreamView, 1).waitingTokens);
		}

		return upstreams.length > 0 ? toPlacement(0, upstreams[0]![1], isClaimable, false) : undefined;
	};

	const claimPlace = createPlacementClaimer({
		task: {
			async claim({upstreamId}) {
				events.push(`claim ${upstreamId}`);
				const quotedMs = upstreams.find(([id]) => id === upstreamId)![2];
				return quotedMs === undefined ? {kind: 'no-answer'} : {kind: 'quoted', quote: quoteOf(quotedMs), held: hold(upstreamId)};
			},
			note({upstreamId}) {
				events.push(`note ${upstreamId}`);
				return hold(upstreamId);
			},
		},
		place,
		onOutcome(outcome) {
			outcomes.push(outcome);
		},
		now: () => 0,
	});
	return {
		claimPlace, place, events, outcomes, known,
	};
}

/** Guards against claims that stay in a ledger for requests which went elsewhere, and against a worse place than the best claimed. */
describe('a request for which a place is claimed', () => {
	test.each([
		['keeps the first place where its quote is good', [['a', 50, 60], ['b', 70, 0]], 'a', 1, 'kept', ['claim a']],
		['moves on to a better one', [['a', 50, 500], ['b', 70, 80]], 'b', 2, 'moved-on', ['claim a', 'claim b', 'end a']],
		['returns to the first place where the others are worse', [['a', 50, 100], ['b', 60, 400], ['c', 70, 300]], 'a', 3, 'kept', ['claim a', 'claim b', 'claim c', 'end b', 'end c']],
		['takes the best of three, and no fourth', [['a', 50, 500], ['b', 60, 400], ['c', 70, 450], ['d', 70, 0]], 'b', 3, 'moved-on', ['claim a', 'claim b', 'claim c', 'end a', 'end c']],
		['takes the best so far where an owner does not answer', [['a', 50, 500], ['b', 60], ['c', 70, 0]], 'a', 1, 'kept', ['claim a', 'claim b']],
		['takes the only upstream', [['a', 50, 5000]], 'a', 1, 'kept', ['claim a']],
	] as const)('%s', async (_name, upstreams, chosen, candidatesTried, outcome, claims) => {
		const {claimPlace, events, outcomes} = createCase(upstreams);
		const {placement, endClaim} = await claimPlace(admitted, createProgress());
		expect(placement!.upstream.id).toBe(chosen);
		expect(placement!.firstByteMs).toBe(upstreams.find(([id]) => id === chosen)![2]);
		expect(placement!.claim).toMatchObject({candidatesTried, quotedWaitMs: placement!.firstByteMs});
		expect(outcomes).toEqual([outcome]);
		expect(events).toEqual(['place for claims', ...claims]);
		placement!.claim!.recordAnswered();
		endClaim();
		expect(events.slice(-2)).toEqual([`answered ${chosen}`, `end ${chosen}`]);
	});

	/** Guards against each request of a host asking first where earlier ones have found a queue. */
	test('takes the quotes of earlier requests into account', async () => {
		const {claimPlace, known} = createCase([['a', 50, 500], ['b', 70, 80], ['c', 90, 0]]);
		await claimPlace(admitted, createProgress());
		await claimPlace(admitted, createProgress());
		expect(known).toEqual([-1, -1, -1, 500, 80, -1]);
	});

	test('is placed by reports where the first owner does not answer, and counts in the ledger', async () => {
		const {claimPlace, events, outcomes} = createCase([['a', 50], ['b', 70, 0]]);
		const {placement, endClaim} = await claimPlace(admitted, createProgress());
		expect(placement!.claim).toMatchObject({candidatesTried: 0, quotedWaitMs: undefined});
		expect(outcomes).toEqual(['no-answer']);
		endClaim();
		expect(events).toEqual(['place for claims', 'claim a', 'place by reports', 'note a', 'end a']);
	});
});

test('a request is placed by reports, with no claim, where reports are recent enough for the load', async () => {
	const {claimPlace, events, outcomes} = createCase([['a', 50, 0]], {unseenMs: 10});
	const {placement} = await claimPlace(admitted, createProgress());
	expect(placement!.claim).toBeUndefined();
	expect(events).toEqual(['place by reports']);
	expect(outcomes).toEqual([]);
});

test('no place is claimed where there is no upstream', async () => {
	const {claimPlace, events} = createCase([]);
	expect((await claimPlace(admitted, createProgress())).placement).toBeUndefined();
	expect(events).toEqual(['place for claims']);
});

/** Guards against admission by the report instead of the quote, and against claims that outlive a refusal. */
describe('admission after a claim', () => {
	const find = async (quotedMs: number, {grantsRoom = true} = {}) => {
		const {claimPlace, place, events} = createCase([['a', 50, quotedMs]]);
		let rooms = 0;
		const findPlacement = createPlacementFinder({
			evacuations: {findRefusal: () => undefined}, registry: {getReach: () => ({upstreams: 1, reachable: 1}), closedForMs: () => undefined},
			crashes: {findCause: () => undefined},
			getRetryBudget: () => ({deposit: () => undefined, tryWithdraw: () => true}),
			getUrgentObjectiveMs: () => undefined,
			place,
			claimPlace,
			acquirePermit: async () => true,
			async acquireRoom() {
				rooms++;
				return {isGranted: grantsRoom || rooms > 1, release: () => undefined};
			},
			confirmCutOff: async () => true,
			relay: {chooseHelper: () => undefined},
			now: () => 0,
			random: () => 0,
		});
		return {result: await findPlacement(admitted, createProgress()), events};
	};

	test('refuses by the quoted load, and withdraws the claim', async () => {
		const {result, events} = await find(600);
		expect(result).toMatchObject({reason: 'overloaded'});
		expect(events).toEqual(['place for claims', 'claim a', 'end a']);
	});

	test('lets the claim last until the place is given back', async () => {
		const {result, events} = await find(100);
		expect(result).toMatchObject({placement: {firstByteMs: 100}});
		expect(events).toEqual(['place for claims', 'claim a']);
		if ('releaseRoom' in result) {
			result.releaseRoom();
		}

		expect(events.at(-1)).toBe('end a');
	});

	test('withdraws the claim at an upstream that has no free slot', async () => {
		const {events} = await find(100, {grantsRoom: false});
		expect(events).toEqual(['place for claims', 'claim a', 'end a', 'place for claims', 'claim a']);
	});
});
