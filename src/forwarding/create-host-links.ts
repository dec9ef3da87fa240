import {log} from '../observe/log.js';
import {createCollectingSender} from './create-collecting-sender.js';
import {createDirectSender} from './create-direct-sender.js';
import {createHostRegistry} from './create-host-registry.js';
import {createHostSocket} from './create-host-socket.js';
import {type DomainSum} from './domain-sum.js';
import {type HostLinks} from './host-links.js';
import {type HostMessage} from './host-message.js';
import {type HostStatus} from './host-status.js';
import {type KeptNews} from './kept-news.js';
import {type LoadNews} from './load-news.js';
import {type LoadSource} from './load-source.js';
import {type MakeReport} from './make-report.js';
import {type ReportSender} from './report-sender.js';
import {type ObjectStore} from './object-store.js';

/** Hosts report this often. */
const reportMs = 100;
/** Up to this many hosts report to each other; of more, one in each failure domain collects the reports. */
const directHosts = 16;
/** Mean ages of reports: half an interval and the way; with a collector also its intervals, of which far sums wait for several. */
const directAgeMs = 60;
const collectedAgeMs = 250;

/** What the links need. */
type HostLinksOptions = {
	readonly self: Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps'>;
	readonly store: ObjectStore;
	/** Kind of the objects under which hosts register. */
	readonly kind: string;
	readonly now: () => number;
	readonly makeReport: MakeReport;
	/** Takes what another host says of itself. */
	readonly onStatus: (status: HostStatus) => void;
	/** Takes the load that a host, or several together, put on the upstreams. */
	readonly onLoads: (source: LoadSource, news: LoadNews) => void;
	readonly onKeptNews: (news: KeptNews) => void;
};

/** Registers this host in the store, finds the others there, and exchanges reports with them. */
export function createHostLinks({self, store, kind, now, makeReport, onStatus, onLoads, onKeptNews}: HostLinksOptions): HostLinks {
	const registry = createHostRegistry({
		self, store, kind, now,
	});
	const count = (): number => registry.count() + 1;

	const hear = (status: HostStatus, ageMs: number): void => {
		if (status.host !== self.host) {
			registry.hear(status, now() - ageMs);
			onStatus({...status, weightsAgeMs: status.weightsAgeMs === undefined ? undefined : status.weightsAgeMs + ageMs});
		}
	};

	const takeSum = ({source, news, members}: DomainSum): void => {
		onLoads(source, news);
		for (const {status, ageMs} of members) {
			hear(status, ageMs);
		}
	};

	const take = (message: HostMessage): void => {
		const {report, sums = [], kept = []} = message;
		collecting.take(message);
		if (report) {
			hear(report, 0);
			onLoads(report, report);
		}

		for (const sum of sums) {
			takeSum(sum);
		}

		for (const news of kept) {
			onKeptNews(news);
		}
	};

	const socket = createHostSocket(self.reports, take);
	const direct = createDirectSender({socket, registry, reportMs});
	const collecting = createCollectingSender({
		self, socket, registry, now, reportMs,
	});
	let sender: ReportSender = direct;
	let timer: NodeJS.Timeout | undefined;

	const sendReport = (): void => {
		registry.sweep();
		const chosen = count() > directHosts ? collecting : direct;
		if (chosen !== sender) {
			sender = chosen;
			log.info({hosts: count(), direct: sender === direct}, 'way of reports changed');
		}

		sender.send({...self, ...makeReport()});
	};

	return {
		async start() {
			await socket.open();
			registry.start();
			timer = setInterval(sendReport, reportMs);
		},
		alive: registry.alive,
		listAll: registry.listAll,
		reportAgeMs: () => sender === direct ? directAgeMs : collectedAgeMs,
		count,
		tell(news) {
			sender.tell(news);
		},
		stop() {
			clearInterval(timer);
			registry.stop();
			socket.close();
		},
	};
}
