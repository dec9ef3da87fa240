import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {findOwner} from '../../src/decide/membership/find-owner.js';
import {getOwnerRankByBandwidth} from '../../src/decide/membership/get-owner-rank-by-bandwidth.js';
import {getOwnerRank} from '../../src/decide/membership/get-owner-rank.js';
import {rankOwnersByBandwidth} from '../../src/decide/membership/rank-owners-by-bandwidth.js';
import {rankOwners} from '../../src/decide/membership/rank-owners.js';

const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 1, maxLength: 20});

describe('the owners of a key', () => {
	test('are the same from rankOwners, findOwner and getOwnerRank', () => {
		fc.assert(fc.property(names, fc.string(), (hostNames, key) => {
			const ranked = rankOwners(hostNames, key);
			expect(findOwner(hostNames, key)).toBe(ranked[0]);
			for (const [rank, name] of ranked.entries()) {
				expect(getOwnerRank(name, hostNames.filter(other => other !== name), key)).toBe(rank);
			}
		}), {seed: 51});
	});

	test('with high bandwidth come first, each group in the order of rankOwners', () => {
		fc.assert(fc.property(names, fc.string(), (hostNames, key) => {
			const hosts = hostNames.map((host, index) => ({host, linkMbps: index % 3 === 0 ? 200 : 10}));
			const rankedAt = (mbps: number) => rankOwners(hosts.filter(({linkMbps}) => linkMbps === mbps).map(({host}) => host), key);
			const ranked = [...rankedAt(200), ...rankedAt(10)];
			expect(rankOwnersByBandwidth(hosts, key)).toEqual(ranked);
			for (const self of hosts) {
				expect(getOwnerRankByBandwidth(self, hosts.filter(other => other !== self), key)).toBe(ranked.indexOf(self.host));
			}
		}), {seed: 52});
	});

	test('are spread evenly over hosts with similar names', () => {
		const hosts = Array.from({length: 20}, (_, index) => `front-domain-a-${index}`);
		const counts = new Map<string, number>();
		for (let key = 0; key < 4000; key++) {
			const owner = findOwner(hosts, `part-${key}`)!;
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}

		// 200 each are expected; five standard deviations are 69.
		expect(Math.min(...counts.values())).toBeGreaterThan(131);
		expect(Math.max(...counts.values())).toBeLessThan(269);
	});
});
