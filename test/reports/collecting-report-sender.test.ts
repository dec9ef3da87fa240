import {describe, expect, test} from 'vitest';
import {createLoadTotals} from '../../src/decide/forwarding/create-load-totals.js';
import {createCollectingReportSender} from '../../src/reports/create-collecting-report-sender.js';
import {type HostMessage} from '../../src/reports/host-message.js';
import {type KvStoreUpdate} from '../../src/forwarding/kv-store-update.js';
import {type KnownHost} from '../../src/reports/known-host.js';

const reportMs = 100;
const domains = ['a', 'b', 'c'];
const hostsPerDomain = 12;
const upstream = 'i-1';
const settleTicks = 20;

/** Hosts that exchange messages in virtual time; each has one request in flight at the same upstream. */
function startHosts() {
	let now = 0;
	let sent = 0;
	const down = new Set<string>();
	const partitionedDomains = new Set<string>();
	// The first two hosts of each domain have the bandwidth of collectors.
	const all: readonly KnownHost[] = domains.flatMap(domain => Array.from({length: hostsPerDomain}, (_, index) => ({
		host: `${domain}-${index}`, domain, peers: `${domain}-${index}`, reports: `${domain}-${index}`, linkMbps: index < 2 ? 200 : 10,
		heardAt: undefined, everyMs: reportMs, isStoreLost: false,
	})));
	let queue: Array<{readonly to: string; readonly message: HostMessage}> = [];
	const hosts = all.map(self => {
		const totals = createLoadTotals();
		const kvUpdates: KvStoreUpdate[] = [];
		const heard = new Map<string, number>();
		const sender = createCollectingReportSender({
			self,
			reportMs,
			now: () => now,
			registry: {listKnown: () => all.filter(({host}) => host !== self.host)} as unknown as Parameters<typeof createCollectingReportSender>[0]['registry'],
			socket: {
				send(message, addresses) {
					sent += addresses.length;
					queue.push(...addresses.map(to => ({to, message})));
				},
				open: async () => undefined,
				close: () => undefined,
			},
		});
		return {
			self, totals, news: kvUpdates, heard, sender,
			handleMessage(message: HostMessage) {
				sender.handleMessage(message);
				kvUpdates.push(...message.kept ?? []);
				if (message.report) {
					totals.replaceLoads(message.report, message.report.loads, now);
					heard.set(message.report.host, now);
				}

				for (const {source, news: {loads}, members} of message.sums ?? []) {
					totals.replaceLoads(source, loads, now);
					for (const {status, ageMs} of members) {
						heard.set(status.host, now - ageMs);
					}
				}
			},
		};
	});
	const live = () => hosts.filter(({self}) => !down.has(self.host));
	const isPartitioned = (to: string, from: string): boolean => partitionedDomains.has(to) !== partitionedDomains.has(from);
	return {
		down, partitionedDomains, live, hosts,
		countSent: () => sent,
		tick(times: number) {
			for (let time = 0; time < times; time++) {
				now += reportMs;
				for (const {self, sender} of live()) {
					const before = queue;
					queue = [];
					sender.send({
						...self, loads: [{
							id: upstream, inFlight: 1, heldTokens: 10, waitingTokens: [],
						}], loading: [], weights: [], crashes: [], epoch: 0, contentVersions: {}, changes: {config: 1}, weightsAgeMs: 0,
					});
					queue = [...before, ...queue.filter(({to}) => !isPartitioned(to.slice(0, 1), self.domain))];
				}

				const arrived = queue;
				queue = [];
				for (const {to, message} of arrived) {
					live().find(({self}) => self.host === to)?.handleMessage(structuredClone(message));
				}
			}
		},
		/** For each host, the number of requests of other hosts that it counts as in flight. */
		countRemoteInFlight: () => live().map(({totals}) => totals.of(upstream, now)?.inFlight ?? 0),
		/** For each host, the number of other hosts whose status is at most two seconds old. */
		countRecentHosts: () => live().map(({heard, self}) => [...heard].filter(([host, at]) => host !== self.host && now - at < 2000).length),
	};
}

type Hosts = ReturnType<typeof startHosts>;
const hostCount = domains.length * hostsPerDomain;

describe('hosts whose reports are collected in each failure domain', () => {
	test.each<readonly [string, (hosts: Hosts) => void, number]>([
		['when nothing fails', () => undefined, hostCount],
		['after the collectors are down', ({down, tick}) => {
			for (const domain of domains) {
				down.add(`${domain}-0`);
				down.add(`${domain}-1`);
			}

			tick(settleTicks);
		}, hostCount - (2 * domains.length)],
		['after all hosts are up again', ({down, tick}) => {
			down.add('a-0');
			down.add('a-1');
			tick(settleTicks);
			down.clear();
			tick(settleTicks * 2);
		}, hostCount],
	])('have the load of all others %s', (_name, induceFault, expected) => {
		const hosts = startHosts();
		hosts.tick(settleTicks);
		induceFault(hosts);
		hosts.tick(settleTicks);
		expect(hosts.countRemoteInFlight()).toEqual(Array.from({length: expected}, () => expected - 1));
		expect(hosts.countRecentHosts()).toEqual(Array.from({length: expected}, () => expected - 1));
	});

	test('have only the load of their own side while a failure domain is partitioned, and all loads afterwards', () => {
		const hosts = startHosts();
		hosts.tick(settleTicks);
		hosts.partitionedDomains.add('c');
		hosts.tick(settleTicks);
		expect(new Set(hosts.countRemoteInFlight())).toEqual(new Set([hostsPerDomain - 1, (2 * hostsPerDomain) - 1]));
		hosts.partitionedDomains.clear();
		hosts.tick(settleTicks);
		expect(new Set(hosts.countRemoteInFlight())).toEqual(new Set([hostCount - 1]));
	});

	test('send a number of datagrams that grows with the hosts, not with their square', () => {
		const hosts = startHosts();
		hosts.tick(settleTicks);
		const before = hosts.countSent();
		hosts.tick(10);
		// One report from and one domain report to each host, and the domain reports between failure domains.
		expect(hosts.countSent() - before).toBeLessThanOrEqual(10 * ((2 * hostCount) + (domains.length * domains.length)));
	});

	test('forward updates of KV stores to every host', () => {
		const hosts = startHosts();
		hosts.tick(settleTicks);
		for (const {sender, self} of hosts.hosts.filter((_, index) => index % 5 === 0)) {
			sender.sendKvUpdate({
				store: self.host, peers: self.peers, since: 1, news: undefined,
			});
		}

		hosts.tick(3);
		const updatedStores = hosts.hosts.filter((_, index) => index % 5 === 0).map(({self}) => self.host);
		for (const {news: kvUpdates, self} of hosts.hosts) {
			expect(new Set([...kvUpdates.map(({store}) => store), ...updatedStores.filter(host => host === self.host)])).toEqual(new Set(updatedStores));
		}
	});
});
