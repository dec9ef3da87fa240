import {describe, expect, test} from 'vitest';
import {replayClaims} from '../../support/replay-claims.js';

/**
27 hosts and 40 upstreams, waves of long and short prompts, reports of 450 ms. Guards against placement by reports alone at a crest, where hosts
send their requests to the same upstreams and read long prompts again, and against claims that make it worse when many of them are lost.
*/
describe('a crest of demand', () => {
	test.each([1, 2])('is waited out sooner with claims than by reports, seed %d', seed => {
		const byReports = replayClaims({usesClaims: false, seed});
		const claimed = replayClaims({usesClaims: true, seed});
		expect(claimed.meanMs).toBeLessThan(byReports.meanMs / 2);
		expect(claimed.p90Ms).toBeLessThan(byReports.p90Ms / 2);
		expect(claimed.p99Ms).toBeLessThan(byReports.p99Ms / 2);
		expect(claimed.readTokens).toBeLessThan(byReports.readTokens);
		expect(claimed.claims).toBeLessThanOrEqual(2.2);
	});

	test('is waited out no later than by reports where a fifth of the claims is lost', () => {
		const byReports = replayClaims({usesClaims: false, seed: 3});
		const claimed = replayClaims({usesClaims: true, seed: 3, lostShare: 0.2});
		expect(claimed.meanMs).toBeLessThan(byReports.meanMs);
		expect(claimed.p90Ms).toBeLessThan(byReports.p90Ms);
		expect(claimed.p99Ms).toBeLessThan(byReports.p99Ms);
	});
});
