import {isSilent} from '../decide/streams/is-silent.js';
import {type ClaimMessage} from '../claims/claim-message.js';
import {log} from '../observe/log.js';
import {every} from '../util/every.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StreamGroup} from '../streams/stream-group.js';
import {type KvStoreUpdate} from '../forwarding/kv-store-update.js';
import {createCollectingReportSender} from './create-collecting-report-sender.js';
import {createDirectReportSender} from './create-direct-report-sender.js';
import {createHostRegistry} from './create-host-registry.js';
import {createHostSocket} from './create-host-socket.js';
import {type DomainReport} from './domain-report.js';
import {type HostReportExchange} from './host-report-exchange.js';
import {type HostMessage} from './host-message.js';
import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';
import {type LoadReport} from './load-report.js';
import {type LoadReporter} from './load-reporter.js';
import {type ReportFactory} from './report-factory.js';
import {type ReportSender} from './report-sender.js';

/** Time between two reports of a host. */
const reportMs = 100;
/** The same where reports are collected. */
const collectedReportMs = 200;
/** Up to this many hosts report directly to each other; with more, a collector in each failure domain adds up the reports. */
const maxDirectHosts = 16;
/** Mean age of a report: half an interval plus network latency; a collector adds one interval, or several for other failure domains. */
const directReportAgeMs = 60;
const collectedReportAgeMs = 450;
/** Time without a report of a host that is no coincidence; where reports are collected, another collector is chosen within it. */
const directSilenceMs = 4 * reportMs;
const collectedSilenceMs = 6 * collectedReportMs;

/** Options of `createHostReportExchange`. */
type HostReportExchangeOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps'>;
	readonly store: ObjectStore;
	/** Kind of the objects under which hosts register. */
	readonly kind: string;
	/** Returns the newest epoch of the store. */
	readonly getEpoch: () => number;
	/** Called when a host is heard for the first time, or again. */
	readonly onHeard: () => void;
	readonly now: () => number;
	readonly makeReport: ReportFactory;
	/** Called with the status that another host reported. */
	readonly onStatus: (status: HostStatus) => void;
	/** Called with the load that one host, or the hosts of a failure domain together, put on the upstreams. */
	readonly onLoads: (source: LoadReporter, report: LoadReport) => void;
	readonly onKvStoreUpdate: (update: KvStoreUpdate) => void;
	/** Called with streams that another host has begun. */
	readonly onStreams: (groups: readonly StreamGroup[]) => void;
	/** Called with claims of places at upstreams, or the answers to such claims. */
	readonly onClaims: (message: ClaimMessage) => void;
};

/** Registers this host in the object store, lists the other hosts from there, and exchanges reports with them. */
export function createHostReportExchange({
	self, store, kind, getEpoch, onHeard, now, makeReport, onStatus, onLoads, onKvStoreUpdate, onStreams, onClaims,
}: HostReportExchangeOptions): HostReportExchange {
	const registry = createHostRegistry({
		self, store, kind, getEpoch, onHeard, now,
	});
	const countHosts = (): number => registry.countKnown() + 1;
	const listHeard = (): readonly KnownHost[] => registry.listKnown().filter(({heardAt}) => heardAt !== undefined);

	const listInReach = (): readonly KnownHost[] => {
		const silenceMs = sender === direct ? directSilenceMs : collectedSilenceMs;
		return listHeard().filter(({heardAt, unheard = []}) => now() - heardAt! <= silenceMs && !unheard.includes(self.host));
	};

	/** Names of the hosts that have fallen silent; `undefined` while there are none. */
	const listUnheard = (): readonly string[] | undefined => {
		const silent = listHeard().filter(({heardAt, everyMs}) => isSilent({ageMs: now() - heardAt!, everyMs}));
		return silent.length > 0 ? silent.map(({host}) => host) : undefined;
	};

	const handleStatus = (status: HostStatus, ageMs: number): void => {
		if (status.host !== self.host) {
			registry.recordStatus(status, now() - ageMs);
			const addAge = (statedMs: number | undefined): number | undefined => statedMs === undefined ? undefined : statedMs + ageMs;
			onStatus({
				...status, weightsAgeMs: addAge(status.weightsAgeMs), upstreamsAgeMs: addAge(status.upstreamsAgeMs),
				weightAges: status.weightAges?.map(([model, version, statedMs]) => [model, version, statedMs === null ? null : statedMs + ageMs] as const),
			});
		}
	};

	const handleDomainReport = ({source, news, members}: DomainReport): void => {
		onLoads(source, news);
		for (const {status, ageMs} of members) {
			handleStatus(status, ageMs);
		}
	};

	const handleMessage = (message: HostMessage): void => {
		const {report, sums = [], kept = [], streams} = message;
		collecting.handleMessage(message);
		if (report) {
			handleStatus(report, 0);
			onLoads(report, report);
		}

		for (const sum of sums) {
			handleDomainReport(sum);
		}

		if (message.claims ?? message.quotes) {
			onClaims(message);
		}

		if (streams) {
			onStreams(streams);
		}

		for (const update of kept) {
			onKvStoreUpdate(update);
		}
	};

	const socket = createHostSocket(self.reports, handleMessage);
	const direct = createDirectReportSender({socket, registry, reportMs});
	const collecting = createCollectingReportSender({
		self, socket, registry, now, reportMs: collectedReportMs,
	});
	let sender: ReportSender = direct;
	let stopSending = (): void => undefined;
	let sentAt = Number.NEGATIVE_INFINITY;

	const sendReport = (): void => {
		// Ticks are not exact: one that comes a little early counts.
		if (sender === collecting && now() - sentAt < collectedReportMs - (reportMs / 2)) {
			return;
		}

		sentAt = now();
		registry.removeExpired();
		const chosen = countHosts() > maxDirectHosts ? collecting : direct;
		if (chosen !== sender) {
			sender = chosen;
			log.info({hosts: countHosts(), direct: sender === direct}, 'way of reports changed');
		}

		sender.send({...self, ...makeReport(), unheard: listUnheard()});
	};

	return {
		async start() {
			await socket.open();
			registry.start();
			stopSending = every(reportMs, 'reports to other hosts', sendReport);
		},
		alive: registry.alive,
		listHeard,
		listOthers: registry.listKnown,
		listReachable: () => registry.alive().length > 0 ? registry.alive() : registry.listKnown(),
		tellStreams(host, streams) {
			socket.send({streams}, [host.reports]);
		},
		sendClaims(message, address) {
			socket.send(message, [address]);
		},
		refreshAndList: registry.refreshAndList,
		reportAgeMs: () => sender === direct ? directReportAgeMs : collectedReportAgeMs,
		listInReach,
		getReach: () => ({heardAgesMs: listHeard().map(({heardAt}) => now() - heardAt!), inReach: listInReach().length}),
		countHosts,
		publishKvUpdate(update) {
			sender.sendKvUpdate(update);
		},
		stop() {
			stopSending();
			registry.stop();
			socket.close();
		},
	};
}
