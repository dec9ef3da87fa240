import {describe, expect, test} from 'vitest';
import {createLoadAggregator} from '../../../src/decide/collecting/create-load-aggregator.js';
import {type HostReport} from '../../../src/reports/host-report.js';

const status = {
	domain: 'd', peers: '127.0.0.1:1', reports: '127.0.0.1:2', linkMbps: 10, everyMs: 100, epoch: 0, contentVersions: {}, changes: {}, isStoreLost: false, weightsAgeMs: 5,
};
const news = {
	loads: [], loading: [], weights: [], crashes: [],
};
const pace = {
	id: 'i', startedAt: 1, setbacks: 0, limit: 4, onTime: 1, slow: 0,
};
const createReport = (host: string, paces: HostReport['paces']): HostReport => ({
	...status, ...news, host, paces,
});

describe('a collector for several hosts', () => {
	// Guards against answers that count twice: a host would hear its own through the collector and raise the limit on half of the evidence.
	test('leaves the answers of a host out of what it sends to that host', () => {
		const aggregator = createLoadAggregator();
		for (const host of ['a', 'b', 'c']) {
			aggregator.addReport(createReport(host, [pace]), 0);
		}

		const create = aggregator.add(0);
		expect(create('a').paces).toEqual([{...pace, onTime: 2}]);
		expect(create().paces).toEqual([{...pace, onTime: 3}]);
		expect(aggregator.members(0).every(member => !('paces' in member.status))).toBe(true);
	});

	test('states nothing where no host does', () => {
		const aggregator = createLoadAggregator();
		aggregator.addReport(createReport('a', undefined), 0);
		expect('paces' in aggregator.add(0)()).toBe(false);
	});
});
