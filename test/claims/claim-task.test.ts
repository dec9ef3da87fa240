import {describe, expect, test} from 'vitest';
import {type ClaimResult} from '../../src/claims/claim-task.js';
import {findOwner} from '../../src/decide/membership/find-owner.js';
import {createClaimNetwork, type ClaimNetwork} from '../support/create-claim-network.js';

const names = ['a', 'b', 'c'];

/** Returns an upstream whose ledger a host keeps, of the hosts that are alive. */
function findUpstream(owner: string, alive: readonly string[] = names): string {
	return Array.from({length: 1000}, (_, index) => `u-${index}`).find(id => findOwner(alive, id) === owner)!;
}

const toClaim = (upstreamId: string, prefillTokens = 100, priority = 1) => ({
	upstreamId, priority, prefillTokens, heldTokens: 500,
});

/** Claims a place at a host and returns the result after the time limit. */
async function claimFrom(network: ClaimNetwork, host: string, upstreamId: string, prefillTokens = 100): Promise<ClaimResult & {readonly tookMs: number}> {
	let result: ClaimResult | undefined;
	let endedAt = 0;
	const startedAt = network.now();
	void (async () => {
		result = await network.tasks.get(host)!.claim(toClaim(upstreamId, prefillTokens), 'd');
		endedAt = network.now();
	})();

	await network.run(30);
	return {...result!, tookMs: endedAt - startedAt};
}

/** Returns the load that the ledger of an upstream holds, as its owner sees it. */
async function readLedger(network: ClaimNetwork, owner: string, upstreamId: string) {
	const result = await claimFrom(network, owner, upstreamId, 0);
	if (result.kind !== 'quoted') {
		throw new Error('the owner itself got no quote');
	}

	result.held.end();
	const {inFlight, aheadTokens, heldTokens} = result.quote;
	return {inFlight, aheadTokens, heldTokens};
}

const nothing = {inFlight: 0, aheadTokens: 0, heldTokens: 0};

describe('a claim', () => {
	test('is quoted what other hosts have claimed, and counts until its end', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		const first = await claimFrom(network, 'a', upstream, 100);
		const second = await claimFrom(network, 'c', upstream, 50);
		expect(first).toMatchObject({kind: 'quoted', quote: nothing, tookMs: 2});
		expect(second).toMatchObject({
			kind: 'quoted', quote: {
				inFlight: 1, aheadTokens: 100, heldTokens: 500, isQueueing: true, isFilling: true,
			},
		});
		if (first.kind === 'quoted' && second.kind === 'quoted') {
			first.held.recordAnswered();
			await network.run(20);
			expect(await readLedger(network, 'b', upstream)).toEqual({inFlight: 2, aheadTokens: 50, heldTokens: 1000});
			first.held.end();
			second.held.end();
			await network.run(20);
			expect(await readLedger(network, 'b', upstream)).toEqual(nothing);
		}
	});

	test('takes no message where this host keeps the ledger', async () => {
		const network = createClaimNetwork(names);
		const result = await claimFrom(network, 'a', findUpstream('a'));
		expect(result).toMatchObject({kind: 'quoted', tookMs: 0});
		if (result.kind === 'quoted') {
			result.held.recordAnswered();
			result.held.end();
		}

		await network.run(100);
		expect(network.sent).toEqual([]);
	});

	/** Guards against a datagram for each claim and each end, which a host with a third of a core can't afford. */
	test('shares datagrams with others that are due at once: five requests take four', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		const results = Array.from({length: 5}, async () => network.tasks.get('a')!.claim(toClaim(upstream), 'd'));
		await network.run(5);
		expect(network.sent).toHaveLength(2);
		for (const result of await Promise.all(results)) {
			if (result.kind === 'quoted') {
				result.held.recordAnswered();
			}
		}

		await network.run(20);
		for (const result of await Promise.all(results)) {
			if (result.kind === 'quoted') {
				result.held.end();
			}
		}

		await network.run(20);
		expect(network.sent).toHaveLength(4);
		expect(await readLedger(network, 'b', upstream)).toEqual(nothing);
	});

	test('without a quote counts as well', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		const held = network.tasks.get('a')!.note(toClaim(upstream), 'd');
		await network.run(20);
		expect(await readLedger(network, 'b', upstream)).toEqual({inFlight: 1, aheadTokens: 100, heldTokens: 500});
		expect(network.sent).toHaveLength(1);
		held.end();
		await network.run(20);
		expect(await readLedger(network, 'b', upstream)).toEqual(nothing);
	});

	test('without a quote that ends before it is sent does not stay in the ledger', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		network.tasks.get('a')!.note(toClaim(upstream, 7), 'd');
		network.tasks.get('a')!.note(toClaim(upstream), 'd').end();
		await network.run(20);
		expect(await readLedger(network, 'b', upstream)).toMatchObject({inFlight: 1, aheadTokens: 7});
	});
});

/** Guards against requests that wait for a host which can't answer, and against claims that stay in a ledger for ever. */
describe('where messages or hosts fail', () => {
	test.each<[string, (network: ClaimNetwork) => void]>([
		['the owner is frozen', network => network.frozen.add('b')],
		['the claim is lost', network => {
			network.setFate(({claims}) => claims ? [] : [1]);
		}],
		['the answer is lost', network => {
			network.setFate(({quotes}) => quotes ? [] : [1]);
		}],
		['the answer is late', network => {
			network.setFate(({quotes}) => quotes ? [20] : [1]);
		}],
	])('%s: the claim ends after 15 ms, the owner is not asked for a while, then again', async (_name, fail) => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		fail(network);
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'no-answer', tookMs: 15});
		const count = network.sent.filter(({message}) => message.claims?.c).length;
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'not-asked', tookMs: 0});
		expect(network.sent.filter(({message}) => message.claims?.c)).toHaveLength(count);
		network.frozen.clear();
		network.setFate(() => [1]);
		await network.run(300);
		expect(await readLedger(network, 'b', upstream)).toEqual(nothing);
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'quoted', quote: nothing});

		// The next time, the pause is no longer than the first one.
		fail(network);
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'no-answer'});
		network.frozen.clear();
		network.setFate(() => [1]);
		await network.run(200);
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'quoted'});
	});

	test('claims and answers that arrive twice change nothing', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		network.setFate(() => [1, 1, 3]);
		const result = await claimFrom(network, 'a', upstream);
		expect(await readLedger(network, 'b', upstream)).toEqual({inFlight: 1, aheadTokens: 100, heldTokens: 500});
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'quoted', quote: {inFlight: 1}});
		if (result.kind === 'quoted') {
			result.held.end();
			result.held.end();
		}

		await network.run(20);
		expect(await readLedger(network, 'b', upstream)).toEqual({inFlight: 1, aheadTokens: 100, heldTokens: 500});
	});

	test('the end of a claim that is lost is made up for by the next message', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		const result = await claimFrom(network, 'a', upstream);
		network.setFate(() => []);
		if (result.kind === 'quoted') {
			result.held.end();
		}

		await network.run(20);
		network.setFate(() => [1]);
		expect(await readLedger(network, 'b', upstream)).toMatchObject({inFlight: 1});
		await claimFrom(network, 'a', upstream, 7);
		expect(await readLedger(network, 'b', upstream)).toMatchObject({inFlight: 1, aheadTokens: 7});
	});

	test('claims of a host that is gone are forgotten', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		await claimFrom(network, 'a', upstream);
		network.frozen.add('a');
		network.dead.add('a');
		expect(findOwner(['b', 'c'], upstream)).toBe('b');
		await network.run(2500);
		expect(await readLedger(network, 'b', upstream)).toEqual(nothing);
	});

	test('another host takes over the ledger of an owner that is gone, and says that it fills', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		const before = await claimFrom(network, 'a', upstream);
		network.frozen.add('b');
		network.dead.add('b');
		const owner = findOwner(['a', 'c'], upstream)!;
		const other = owner === 'a' ? 'c' : 'a';
		expect(await claimFrom(network, other, upstream)).toMatchObject({kind: 'quoted', quote: {...nothing, isFilling: true}});
		if (before.kind === 'quoted') {
			before.held.end();
		}

		await network.run(700);
		expect(await claimFrom(network, other, upstream)).toMatchObject({kind: 'quoted', quote: {inFlight: 1, isFilling: false}});
	});

	/** Guards against blaming an owner for a standstill of the asking process. */
	test('an owner is asked again at once by a process that stood still itself', async () => {
		const network = createClaimNetwork(names);
		const upstream = findUpstream('b');
		let result: ClaimResult | undefined;
		void (async () => {
			result = await network.tasks.get('a')!.claim(toClaim(upstream), 'd');
		})();

		network.setFate(({quotes}) => quotes ? [] : [1]);
		await network.run(1);
		network.frozen.add('a');
		await network.run(500);
		network.frozen.clear();
		await network.run(1);
		expect(result).toEqual({kind: 'no-answer'});
		network.setFate(() => [1]);
		expect(await claimFrom(network, 'a', upstream)).toMatchObject({kind: 'quoted', quote: nothing});
	});

	test('an answer that arrived while the process stood still counts', async () => {
		const network = createClaimNetwork(names);
		let result: ClaimResult | undefined;
		void (async () => {
			result = await network.tasks.get('a')!.claim(toClaim(findUpstream('b')), 'd');
		})();

		await network.run(1);
		network.frozen.add('a');
		await network.run(500);
		network.frozen.clear();
		await network.run(1);
		expect(result).toMatchObject({kind: 'quoted'});
	});
});
