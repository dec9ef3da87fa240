import {createCollectorSelector} from '../decide/collecting/create-collector-selector.js';
import {createDueStatusFilter} from '../decide/collecting/create-due-status-filter.js';
import {createLoadAggregator} from '../decide/collecting/create-load-aggregator.js';
import {log} from '../observe/log.js';
import {type KvStoreUpdate} from '../forwarding/kv-store-update.js';
import {memoizeLast} from '../util/memoize-last.js';
import {type CollectingReportSender} from './collecting-report-sender.js';
import {type DomainReport} from './domain-report.js';
import {type HostMessage} from './host-message.js';
import {type HostRegistry} from './host-registry.js';
import {type HostSocket} from './host-socket.js';
import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';

/**
Interval at which the status of an unchanged host is repeated within its failure domain; shorter than for other domains, since the
hosts of a domain share most of their upstreams.
*/
const localMembersIntervalMs = 500;
/** Interval at which the status of an unchanged host is repeated to other failure domains. */
const remoteMembersIntervalMs = 1000;
/** Number of report intervals between two domain reports to other failure domains. */
const remoteReportTurns = 2;
/** A host that sent a domain report within this time counts as the collector of its failure domain. */
const remoteCollectorTimeoutMs = 2000;

/** Options of `createCollectingReportSender`. */
type CollectingReportSenderOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'linkMbps'>;
	readonly socket: HostSocket;
	readonly registry: HostRegistry;
	readonly now: () => number;
	/** Time between reports, in milliseconds. */
	readonly reportMs: number;
};

/** A domain report of another failure domain, to be forwarded within this one. */
type PendingDomainReport = {
	readonly report: DomainReport;
	readonly receivedAt: number;
};

/** Creates the sender for deployments with too many hosts to report directly to each other. */
export function createCollectingReportSender({self, socket, registry, now, reportMs}: CollectingReportSenderOptions): CollectingReportSender {
	const collectorSelector = createCollectorSelector(self, self.domain);
	const aggregator = createLoadAggregator();
	const localDueFilter = createDueStatusFilter(localMembersIntervalMs);
	const remoteDueFilter = createDueStatusFilter(remoteMembersIntervalMs);
	/** The host that last sent a domain report, by failure domain. */
	const remoteCollectors = new Map<string, {readonly host: string; readonly at: number}>();
	const listLocal = memoizeLast((hosts: readonly KnownHost[]) => hosts.filter(host => host.domain === self.domain));
	/** Hosts of the other failure domains, by domain. */
	const groupRemote = memoizeLast((hosts: readonly KnownHost[]) => {
		const groups = new Map<string, KnownHost[]>();
		for (const host of hosts.filter(({domain}) => domain !== self.domain)) {
			groups.set(host.domain, [...groups.get(host.domain) ?? [], host]);
		}

		return groups;
	});
	let pendingReports: readonly PendingDomainReport[] = [];
	let pendingKvUpdates: readonly KvStoreUpdate[] = [];
	let collector = self.host;
	let turn = 0;

	const updateCollector = (localHosts: readonly KnownHost[]): void => {
		const chosen = collectorSelector.choose(localHosts, now());
		if (chosen !== collector) {
			log.info({collector: chosen, before: collector}, 'reports go to another host');
			collector = chosen;
		}
	};

	/** Returns the address of the collector of each other failure domain; while it is unknown, the hosts of the domain take turns. */
	const listRemoteCollectors = (): readonly string[] => [...groupRemote(registry.listKnown())].map(([domain, hosts]) => {
		const source = remoteCollectors.get(domain);
		const known = source && now() - source.at < remoteCollectorTimeoutMs ? hosts.find(host => host.host === source.host) : undefined;
		return (known ?? hosts[turn % hosts.length]!).reports;
	});

	const createDomainReport = (everyMs: number, news: DomainReport['news'], members: DomainReport['members']): DomainReport => ({
		source: {host: self.host, domain: self.domain, everyMs}, news, members,
	});

	const takePendingReports = (): readonly DomainReport[] => {
		const pending = pendingReports.map(({report, receivedAt}) => ({
			...report, members: report.members.map(({status, ageMs}) => ({status, ageMs: ageMs + Math.round(now() - receivedAt)})),
		}));
		pendingReports = [];
		return pending;
	};

	/** Sends each host of the failure domain the total of the other hosts' loads, along with the reports of other failure domains. */
	const sendDomainReports = (localHosts: readonly KnownHost[], forwarded: HostMessage): void => {
		const createLoadReport = aggregator.add(now());
		const members = aggregator.members(now());
		const dueMembers = localDueFilter(members, now());
		for (const {host, reports} of localHosts) {
			socket.send({...forwarded, sums: [createDomainReport(reportMs, createLoadReport(host), dueMembers), ...forwarded.sums ?? []]}, [reports]);
		}

		if (turn % remoteReportTurns === 0) {
			socket.send({
				sums: [createDomainReport(reportMs * remoteReportTurns, createLoadReport(), remoteDueFilter(members, now()))], isToPassOn: true,
			}, listRemoteCollectors());
		}
	};

	const forwardPending = (localHosts: readonly KnownHost[]): void => {
		const forwarded = {sums: takePendingReports(), kept: pendingKvUpdates};
		pendingKvUpdates = [];
		if (aggregator.isCollecting(now())) {
			sendDomainReports(localHosts, forwarded);
		} else if (forwarded.sums.length > 0 || forwarded.kept.length > 0) {
			socket.send(forwarded, localHosts.map(host => host.reports));
		}
	};

	return {
		send(report) {
			turn++;
			const localHosts = listLocal(registry.listKnown());
			updateCollector(localHosts);
			const own = {...report, everyMs: reportMs};
			if (collector === self.host) {
				aggregator.addReport(own, now());
			} else {
				socket.send({report: own, isForSum: true}, localHosts.filter(host => host.host === collector).map(host => host.reports));
			}

			forwardPending(localHosts);
		},
		sendKvUpdate(update) {
			const collectors = collector === self.host ? [] : registry.listKnown().filter(host => host.host === collector).map(host => host.reports);
			if (collectors.length === 0) {
				pendingKvUpdates = [...pendingKvUpdates, update];
			}

			socket.send({kept: [update], isToPassOn: true}, [...collectors, ...listRemoteCollectors()]);
		},
		handleMessage({report, isForSum, sums: domainReports = [], kept = [], isToPassOn}) {
			if (report && isForSum) {
				aggregator.addReport(report, now());
			}

			for (const {source} of domainReports) {
				if (source.domain === self.domain) {
					collectorSelector.recordReport(source.host, now());
				} else {
					remoteCollectors.set(source.domain, {host: source.host, at: now()});
				}
			}

			if (isToPassOn) {
				pendingReports = [...pendingReports, ...domainReports.map(report => ({report, receivedAt: now()}))];
				pendingKvUpdates = [...pendingKvUpdates, ...kept];
			}
		},
	};
}
