import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createShardJournal} from '../../src/commitments/create-shard-journal.js';
import {type ClaimResult} from '../../src/decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../../src/decide/commitments/idempotency-claim.js';
import {type LedgerShardHead} from '../../src/decide/commitments/ledger-shard-head.js';
import {type ShardJournal} from '../../src/commitments/shard-journal.js';
import {createFakePlatform, type PlatformFaultRates} from '../support/create-fake-platform.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

const hourMs = 3_600_000;
const noFaults: PlatformFaultRates = {
	refused: 0, lost: 0, late: 0, stale: 0,
};

async function pause(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

function createJournals(count: number, seed: number, faults: PlatformFaultRates, responseRetentionMs = hourMs) {
	const random = createSeededRandom(seed);
	const platform = createFakePlatform(random, faults);
	const journals = Array.from({length: count}, () => createShardJournal({
		platform, slice: 0, responseRetentionMs: () => responseRetentionMs, pause,
	}));
	return {platform, journals, random};
}

const makeClaim = (key: string, id: string, digest = 'same'): IdempotencyClaim => ({
	key, digest, id, holder: `host-${id}`,
});

async function claimOrRefused(journal: ShardJournal, claim: IdempotencyClaim): Promise<ClaimResult | 'refused'> {
	try {
		return await journal.claim(claim);
	} catch {
		return 'refused';
	}
}

describe('the journal of a ledger shard', () => {
	it.each([
		['without faults', noFaults],
		['with refused calls', {...noFaults, refused: 0.2}],
		['with responses lost after the write', {...noFaults, lost: 0.3}],
		['with writes that take effect later', {...noFaults, late: 0.2}],
		['with stale reads', {...noFaults, stale: 0.3}],
		['with all of these faults', {
			refused: 0.1, lost: 0.15, late: 0.15, stale: 0.2,
		}],
	])('grants a key at most once to concurrent hosts: %s', async (_name, faults) => {
		await fc.assert(fc.asyncProperty(
			fc.integer(),
			fc.array(fc.tuple(fc.nat(3), fc.nat(4)), {minLength: 4, maxLength: 30}),
			async (seed, claims) => {
				const {journals} = createJournals(4, seed, faults);
				const results = await Promise.all(claims.map(async ([host, key], index) =>
					({key, result: await claimOrRefused(journals[host]!, makeClaim(`key-${key}`, `claim-${index}`))})));
				for (const key of new Set(claims.map(claim => claim[1]))) {
					const granted = results.filter(entry => entry.key === key && entry.result !== 'refused' && entry.result.kind === 'granted');
					expect(granted.length).toBeLessThanOrEqual(1);
				}
			},
		), {seed: 11, numRuns: 60});
	});

	it('sends the request of a key at most once when holders release claims, report nothing, or report after the outcome was recorded as unknown', async () => {
		await fc.assert(fc.asyncProperty(
			fc.integer(),
			fc.array(fc.record({host: fc.nat(3), key: fc.nat(2), end: fc.constantFrom('done', 'released', 'unknown', 'silent')}), {minLength: 4, maxLength: 24}),
			async (seed, claims) => {
				const {journals} = createJournals(4, seed, {
					refused: 0.05, lost: 0.1, late: 0.1, stale: 0.1,
				});
				const runs = new Map<number, number>();
				await Promise.all(claims.map(async ({host, key, end}, index) => {
					const claim = makeClaim(`key-${key}`, `claim-${index}`);
					const result = await claimOrRefused(journals[host]!, claim);
					if (result === 'refused') {
						await journals[(host + 1) % 4]!.settle({...claim, state: 'released'});
					} else if (result.kind === 'granted') {
						// The request of a released claim was never sent.
						runs.set(key, (runs.get(key) ?? 0) + (end === 'released' ? 0 : 1));
						if (end !== 'silent') {
							await journals[(host + 1) % 4]!.settle({...claim, state: end});
						}
					} else if (result.kind === 'running') {
						await journals[host]!.settle({...claim, id: result.id, state: 'unknown'});
					}
				}));
				for (const count of runs.values()) {
					expect(count).toBeLessThanOrEqual(1);
				}
			},
		), {seed: 12, numRuns: 120});
	});

	it('keeps every key through rotation, merging and expiry of responses, with a head below 64 KiB', async () => {
		const {platform, journals} = createJournals(2, 13, noFaults, 0);
		const keys = Array.from({length: 3000}, (_, index) => `key-${index}`);
		for (let offset = 0; offset < keys.length; offset += 50) {
			await Promise.all(keys.slice(offset, offset + 50).map(async key => {
				const claim = makeClaim(key, `claim-${key}`);
				const result = await journals[offset % 2]!.claim(claim);
				expect(result).toEqual({kind: 'granted'});
				await journals[offset % 2]!.settle({...claim, state: 'done', answer: {status: 200, contentType: 'text/plain', body: 'x'.repeat(200)}});
			}));
		}

		const head = JSON.parse(platform.objects.get('ledger/0/head')!.value) as LedgerShardHead;
		expect(head.segments.length).toBeGreaterThan(1);
		expect(Buffer.byteLength(JSON.stringify(head))).toBeLessThan(64 * 1024);
		const fresh = createShardJournal({
			platform, slice: 0, responseRetentionMs: () => 0, pause,
		});
		const repeated = await Promise.all(keys.map(async key => fresh.claim(makeClaim(key, `again-${key}`))));
		expect(repeated.every(result => result.kind === 'done')).toBe(true);
		const bodies = repeated.slice(0, 100).map(result => result.kind === 'done' ? result.answer.body : 'not done');
		expect(bodies.every(text => text === undefined)).toBe(true);
	});

	it.each([
		['another request under the same key', 'other', 'reused'],
		['the same request', 'same', 'running'],
	])('reports the state of a claimed key to %s', async (_name, digest, kind) => {
		const {journals} = createJournals(1, 14, noFaults);
		await journals[0]!.claim(makeClaim('key', 'first'));
		expect(await journals[0]!.claim(makeClaim('key', 'second', digest))).toMatchObject({kind});
	});

	it('does not grant a claim that its holder released before it was written', async () => {
		const {journals} = createJournals(2, 15, noFaults);
		const claim = makeClaim('key', 'early');
		await journals[0]!.settle({...claim, state: 'released'});
		expect(await journals[1]!.claim(claim)).toEqual({kind: 'given-up'});
		expect(await journals[1]!.claim(makeClaim('key', 'next'))).toEqual({kind: 'granted'});
	});
});
