import {createCollectorSelector} from '../decide/collecting/create-collector-selector.js';
import {createDueStatusFilter} from '../decide/collecting/create-due-status-filter.js';
import {createLoadAggregator} from '../decide/collecting/create-load-aggregator.js';
import {log} from '../observe/log.js';
import {type CollectingReportSender} from './collecting-report-sender.js';
import {type DomainReport} from './domain-report.js';
import {type HostMessage} from './host-message.js';
import {type HostRegistry} from './host-registry.js';
import {type HostSocket} from './host-socket.js';
import {type HostStatus} from './host-status.js';
import {type KvStoreUpdate} from './kv-store-update.js';
import {type KnownHost} from './known-host.js';

/** Hosts of the own failure domain, which share most of their upstreams, hear of each other this often. */
const nearMembersMs = 500;
/** Those of other failure domains hear of them this often. */
const farMembersMs = 1000;
/** Sums go to other failure domains once in so many intervals. */
const farTurns = 3;
/** A host of another failure domain that has sent sums lately is the one to send them to. */
const farSourceMs = 2000;

/** What the sender needs. */
type CollectingReportSenderOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'linkMbps'>;
	readonly socket: HostSocket;
	readonly registry: HostRegistry;
	readonly now: () => number;
	/** Time between reports, in milliseconds. */
	readonly reportMs: number;
};

/** A sum of another failure domain that waits to be passed on. */
type HeldSum = {
	readonly sum: DomainReport;
	readonly heldSince: number;
};

/** Creates the sender. */
export function createCollectingReportSender({self, socket, registry, now, reportMs}: CollectingReportSenderOptions): CollectingReportSender {
	const choice = createCollectorSelector(self, self.domain);
	const sums = createLoadAggregator();
	const nearDue = createDueStatusFilter(nearMembersMs);
	const farDue = createDueStatusFilter(farMembersMs);
	/** The host that last sent sums, by failure domain. */
	const farSources = new Map<string, {readonly host: string; readonly at: number}>();
	let heldSums: readonly HeldSum[] = [];
	let heldKept: readonly KvStoreUpdate[] = [];
	let collector = self.host;
	let turn = 0;

	const choose = (near: readonly KnownHost[]): void => {
		const chosen = choice.choose(near, now());
		if (chosen !== collector) {
			log.info({collector: chosen, before: collector}, 'reports go to another host');
			collector = chosen;
		}
	};

	/** Gives the host of each other failure domain that collects there; each in turn where none is known to. */
	const farCollectors = (): readonly string[] => {
		const far = registry.listKnown().filter(host => host.domain !== self.domain);
		const domains = new Set(far.map(host => host.domain));
		return [...domains].map(domain => {
			const hosts = far.filter(host => host.domain === domain);
			const source = farSources.get(domain);
			const known = source && now() - source.at < farSourceMs ? hosts.find(host => host.host === source.host) : undefined;
			return (known ?? hosts[turn % hosts.length]!).reports;
		});
	};

	const toSum = (everyMs: number, news: DomainReport['news'], members: DomainReport['members']): DomainReport => ({
		source: {host: self.host, domain: self.domain, everyMs}, news, members,
	});

	const takeHeldSums = (): readonly DomainReport[] => {
		const held = heldSums.map(({sum, heldSince}) => ({
			...sum, members: sum.members.map(({status, ageMs}) => ({status, ageMs: ageMs + Math.round(now() - heldSince)})),
		}));
		heldSums = [];
		return held;
	};

	/** Sends each host of the failure domain the sum of the others, and what other failure domains sent. */
	const sendSums = (near: readonly KnownHost[], passedOn: HostMessage): void => {
		const sumFor = sums.add(now());
		const members = sums.members(now());
		const nearMembers = nearDue(members, now());
		for (const {host, reports} of near) {
			socket.send({...passedOn, sums: [toSum(reportMs, sumFor(host), nearMembers), ...passedOn.sums ?? []]}, [reports]);
		}

		if (turn % farTurns === 0) {
			socket.send({sums: [toSum(reportMs * farTurns, sumFor(), farDue(members, now()))], isToPassOn: true}, farCollectors());
		}
	};

	const sendOn = (near: readonly KnownHost[]): void => {
		const passedOn = {sums: takeHeldSums(), kept: heldKept};
		heldKept = [];
		if (sums.isCollecting(now())) {
			sendSums(near, passedOn);
		} else if (passedOn.sums.length > 0 || passedOn.kept.length > 0) {
			socket.send(passedOn, near.map(host => host.reports));
		}
	};

	return {
		send(report) {
			turn++;
			const near = registry.listKnown().filter(host => host.domain === self.domain);
			choose(near);
			const own = {...report, everyMs: reportMs};
			if (collector === self.host) {
				sums.addReport(own, now());
			} else {
				socket.send({report: own, isForSum: true}, near.filter(host => host.host === collector).map(host => host.reports));
			}

			sendOn(near);
		},
		sendKvUpdate(news) {
			const near = collector === self.host ? [] : registry.listKnown().filter(host => host.host === collector).map(host => host.reports);
			if (near.length === 0) {
				heldKept = [...heldKept, news];
			}

			socket.send({kept: [news], isToPassOn: true}, [...near, ...farCollectors()]);
		},
		handleMessage({report, isForSum, sums: taken = [], kept = [], isToPassOn}) {
			if (report && isForSum) {
				sums.addReport(report, now());
			}

			for (const {source} of taken) {
				if (source.domain === self.domain) {
					choice.recordReport(source.host, now());
				} else {
					farSources.set(source.domain, {host: source.host, at: now()});
				}
			}

			if (isToPassOn) {
				heldSums = [...heldSums, ...taken.map(sum => ({sum, heldSince: now()}))];
				heldKept = [...heldKept, ...kept];
			}
		},
	};
}
