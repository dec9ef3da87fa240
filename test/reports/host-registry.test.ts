import {describe, expect, test} from 'vitest';
import {type ObjectStore} from '../../src/object-store/object-store.js';
import {createHostRegistry} from '../../src/reports/create-host-registry.js';
import {oddEntries} from '../support/odd-entries.js';

const kind = 'hemlockpier-hosts';
const self = {
	host: 'host-1', domain: 'domain-a', peers: '127.0.0.1:1', reports: '127.0.0.1:2', linkMbps: 1000,
};
const other = {...self, host: 'host-2'};

async function listBeside(odd: unknown): Promise<readonly string[]> {
	const objects = [odd, other].map((value, index) => ({
		name: `entry-${index}`, epoch: 1, revision: index + 1, value,
	}));
	const registry = createHostRegistry({
		self, store: {list: async () => ({objects, epoch: 1, revision: 2})} as unknown as ObjectStore, kind,
		getEpoch: () => 1, onHeard: () => undefined, now: () => 0,
	});
	const known = await registry.refreshAndList();
	return known.map(({host}) => host);
}

describe('the list of hosts with a recent report', () => {
	const status = {
		...other, everyMs: 100, isStoreLost: false, lostServices: [], epoch: 1, changes: {}, contentVersions: {}, weightsAgeMs: 0,
	};
	const later = 200;

	test.each([
		['reports again', status, true],
		['reports again that it reaches a service', {...status, lostServices: [...status.lostServices]}, true],
		['has lost the store', {...status, isStoreLost: true}, false],
		['has lost a service', {...status, lostServices: ['app']}, false],
		['has stopped hearing a host', {...status, unheard: ['host-3']}, false],
		['comes at another address', {...status, reports: '127.0.0.1:3'}, false],
		['reports at another interval', {...status, everyMs: 500}, false],
	])('is the same object only while its hosts are the same: one %s', (_, next, isSame) => {
		let time = 0;
		const registry = createHostRegistry({
			self, store: {} as unknown as ObjectStore, kind, getEpoch: () => 1, onHeard: () => undefined, now: () => time,
		});
		registry.recordStatus(status, time);
		const [before, knownBefore] = [registry.alive(), registry.listKnown()];
		time += later;
		registry.recordStatus(next, time);
		expect([registry.alive() === before, registry.listKnown() === knownBefore]).toEqual([isSame, isSame]);
		expect(registry.alive()).toEqual([expect.objectContaining({
			host: 'host-2', heardAt: later, isStoreLost: next.isStoreLost, reports: next.reports,
		})]);
	});

	test('leaves out a host once its reports are overdue, and lists it again', () => {
		let time = 0;
		const registry = createHostRegistry({
			self, store: {} as unknown as ObjectStore, kind, getEpoch: () => 1, onHeard: () => undefined, now: () => time,
		});
		registry.recordStatus(status, time);
		expect(registry.alive()).toHaveLength(1);
		time = 5000;
		expect(registry.alive()).toHaveLength(0);
		registry.recordStatus(status, time);
		time += later;
		expect(registry.alive()).toHaveLength(1);
	});
});

describe('the list of registered hosts', () => {
	test.each(Object.entries(oddEntries[kind]!))('leaves out an odd entry and keeps its neighbours: %s', async (_, odd) => {
		expect(await listBeside(odd)).toEqual(['host-2']);
	});
});
