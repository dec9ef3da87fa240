import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PublishConflictError} from '../../src/publishing/publish-conflict-error.js';
import {publish} from '../../src/publishing/publish.js';
import {type ConfigHead} from '../../src/publishing/config-head.js';
import {parseServiceText} from '../../src/settings/parse-service-text.js';
import {computeSha256} from '../../src/util/compute-sha256.js';
import {createFakePlatform, type PlatformFaultRates} from '../support/create-fake-platform.js';
import {createSeededRandom} from '../../src/util/create-seeded-random.js';

function makeFile(service: string, weight: number) {
	const text = JSON.stringify({
		service, kind: 'plain', weight, workspaces: [{name: 'w', keys: [computeSha256('key')]}],
		upstreams: [{name: `${service}-1`, domain: 'd', url: `http://127.0.0.1:1/${service}`}],
		routes: [{path: '/', method: 'GET', repeatable: true}],
	});
	return {file: service, text, service: parseServiceText(service, text)};
}

const faults: Readonly<Record<string, PlatformFaultRates>> = {
	none: {
		refused: 0, lost: 0, late: 0, stale: 0,
	},
	lostResponses: {
		refused: 0.1, lost: 0.4, late: 0, stale: 0,
	},
	lateWrites: {
		refused: 0, lost: 0, late: 0.3, stale: 0,
	},
};

describe('publishing', () => {
	it.each(Object.entries(faults))('assigns every accepted publication its own revision and applies it, with platform faults: %s', async (_name, fault) => {
		await fc.assert(fc.asyncProperty(fc.integer(), fc.array(fc.nat(2), {minLength: 2, maxLength: 6}), async (seed, services) => {
			const platform = createFakePlatform(createSeededRandom(seed), fault);
			const results = await Promise.allSettled(services.map(async (service, index) =>
				publish(platform, [makeFile(`service-${service}`, index + 1)], `operator-${index}`, async () => undefined)));
			const head = JSON.parse(platform.objects.get('config/head')!.value) as ConfigHead;
			const accepted = results.flatMap((result, index) => result.status === 'fulfilled' ? [{revision: result.value, index}] : []);
			expect(new Set(accepted.map(entry => entry.revision)).size).toBe(accepted.length);
			expect(head.revision).toBeGreaterThanOrEqual(Math.max(0, ...accepted.map(entry => entry.revision)));
			for (const result of results) {
				if (result.status === 'rejected') {
					expect(result.reason).toBeInstanceOf(PublishConflictError);
				}
			}

			for (const [service, hash] of Object.entries(head.services)) {
				const winner = head.recent.findLast(entry => entry.services.includes(service))!;
				const index = Number(winner.publisher.split('-')[1]);
				expect(hash).toBe(computeSha256(makeFile(service, index + 1).text));
			}
		}), {seed: 21, numRuns: 60});
	});

	it('accepts all concurrent publications of different services when responses are lost', async () => {
		await fc.assert(fc.asyncProperty(fc.integer(), async seed => {
			const platform = createFakePlatform(createSeededRandom(seed), faults.lostResponses!);
			const revisions = await Promise.all(Array.from({length: 5}, async (_, index) =>
				publish(platform, [makeFile(`service-${index}`, 1)], `operator-${index}`, async () => undefined)));
			expect(new Set(revisions).size).toBe(5);
			const head = JSON.parse(platform.objects.get('config/head')!.value) as ConfigHead;
			expect(head.revision).toBe(5);
		}), {seed: 22, numRuns: 60});
	});

	it('accepts concurrent publications of two different services', async () => {
		const platform = createFakePlatform(createSeededRandom(1), faults.none!);
		await Promise.all([publish(platform, [makeFile('one', 1)], 'a'), publish(platform, [makeFile('two', 1)], 'b')]);
		const head = JSON.parse(platform.objects.get('config/head')!.value) as ConfigHead;
		expect(Object.keys(head.services).toSorted()).toEqual(['one', 'two']);
		expect(head.revision).toBe(2);
	});

	it('rejects the second of two concurrent publications of one service with a conflict', async () => {
		const platform = createFakePlatform(createSeededRandom(1), faults.none!);
		const results = await Promise.allSettled([publish(platform, [makeFile('one', 1)], 'a'), publish(platform, [makeFile('one', 2)], 'b')]);
		const rejected = results.find(result => result.status === 'rejected');
		expect(rejected?.reason).toMatchObject({name: 'PublishConflictError', service: 'one', revision: 1});
	});

	it('rejects a file that conflicts with a service in force', async () => {
		const platform = createFakePlatform(createSeededRandom(1), faults.none!);
		await publish(platform, [makeFile('one', 1)], 'a');
		const conflicting = makeFile('one', 1);
		const text = conflicting.text.replace('"one"', '"two"');
		await expect(publish(platform, [{file: 'two', text, service: parseServiceText('two', text)}], 'b')).rejects.toMatchObject({name: 'SettingsError'});
	});
});
