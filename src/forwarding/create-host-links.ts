import {createSocket} from 'node:dgram';
import {parseAddress} from '../http/parse-address.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type HostLinks} from './host-links.js';
import {type KnownHost} from './known-host.js';
import {type MakeReport} from './make-report.js';
import {type HostReport} from './host-report.js';
import {type KeptNews} from './kept-news.js';
import {decodeReport} from './decode-report.js';
import {encodeReport} from './encode-report.js';
import {type WireReport} from './wire-report.js';
import {type ObjectStore} from './object-store.js';

/** Hosts report to each other this often while they are few. */
const reportMs = 100;
/**
Reports are as frequent up to this many hosts and then rarer in proportion, which bounds what a host takes in. Hosts of one
failure domain, which share most of their upstreams, hear each other more often than those of others.
*/
const frequentNearHosts = 8;
const frequentFarHosts = 6;
/** A host whose reports stay out for several of their intervals, and at least for this long, counts as unreachable. */
const silentMs = 1200;
const silentReports = 4;
/** The list of hosts that are heard is made again this often; many tasks ask for it. */
const aliveMs = 100;
/** How often the hosts registered in the store are read again; rarer in proportion to hosts, since newcomers report to all. */
const listMs = 15_000;
const frequentlyListedHosts = 16;
const retryMs = 1000;
/** Hosts that have been silent for this long are forgotten. */
const forgetMs = 60_000;

/** What hosts send each other as datagrams. */
type Datagram = {
	readonly report?: WireReport;
	readonly kept?: KeptNews;
};

/** What the links need. */
type HostLinksOptions = {
	readonly self: Pick<HostReport, 'host' | 'domain' | 'peers' | 'reports'>;
	readonly store: ObjectStore;
	/** Kind of the objects under which hosts register. */
	readonly kind: string;
	readonly now: () => number;
	readonly makeReport: MakeReport;
	readonly onReport: (report: HostReport) => void;
	readonly onKeptNews: (news: KeptNews) => void;
};

/** Registers this host in the store, finds the others there, and exchanges load reports with them. */
export function createHostLinks({self, store, kind, now, makeReport, onReport, onKeptNews}: HostLinksOptions): HostLinks {
	const known = new Map<string, KnownHost>();
	const socket = createSocket('udp4');
	let hasStopped = false;
	let turn = 0;
	let living: readonly KnownHost[] = [];
	let listedAt = Number.NEGATIVE_INFINITY;

	const isAlive = ({heardAt, everyMs}: KnownHost): boolean => heardAt !== undefined && now() - heardAt < Math.max(silentMs, everyMs * silentReports);

	const listAlive = (): readonly KnownHost[] => {
		if (now() - listedAt >= aliveMs) {
			listedAt = now();
			living = [...known.values()].filter(entry => isAlive(entry));
		}

		return living;
	};

	const hear = (report: HostReport): void => {
		const before = known.get(report.host);
		if (!before || !isAlive(before)) {
			log.info({peer: report.host, address: report.peers}, 'peer heard');
		}

		known.set(report.host, {
			host: report.host, domain: report.domain, peers: report.peers, reports: report.reports, heardAt: now(), everyMs: report.everyMs, isStoreLost: report.isStoreLost,
		});
		onReport(report);
	};

	const register = async (): Promise<void> => {
		if (await store.create(kind, self.host, self)) {
			return;
		}

		const found = await store.read(kind, self.host);
		if (found && JSON.stringify(found.value) !== JSON.stringify(self)) {
			await store.replace(kind, self.host, self, found.revision);
		}
	};

	const listHosts = async (): Promise<void> => {
		const {objects} = await store.list(kind);
		for (const {value} of objects) {
			const entry = value as HostReport;
			if (entry.host !== self.host && !known.has(entry.host)) {
				known.set(entry.host, {
					...entry, heardAt: undefined, everyMs: reportMs, isStoreLost: false,
				});
			}
		}
	};

	const keepListing = async (): Promise<void> => {
		let hasRegistered = false;
		while (!hasStopped) {
			try {
				if (!hasRegistered) {
					await register();
					hasRegistered = true;
				}

				await listHosts();
				await sleep(listMs * Math.max(1, known.size / frequentlyListedHosts));
			} catch (error) {
				log.warn({error: String(error)}, 'hosts can not be listed');
				await sleep(retryMs);
			}
		}
	};

	const send = (message: Datagram, hosts: Iterable<KnownHost>): void => {
		if (hasStopped) {
			return;
		}

		const bytes = Buffer.from(JSON.stringify(message));
		for (const {reports} of hosts) {
			const {host, port} = parseAddress(reports);
			// A datagram that can't be sent is like one that is lost: the next one follows soon.
			socket.send(bytes, port, host, () => undefined);
		}
	};

	const sendByTurns = (report: Omit<HostReport, 'everyMs'>, hosts: readonly KnownHost[], frequentHosts: number): void => {
		const turns = Math.max(1, Math.round(hosts.length / frequentHosts));
		send({report: encodeReport({...report, everyMs: reportMs * turns})}, hosts.filter((_, index) => (index + turn) % turns === 0));
	};

	const sendReport = (): void => {
		for (const [name, {heardAt}] of known) {
			if (heardAt !== undefined && now() - heardAt > forgetMs) {
				known.delete(name);
			}
		}

		const report = {...self, ...makeReport()};
		const near = [...known.values()].filter(host => host.domain === self.domain);
		const far = [...known.values()].filter(host => host.domain !== self.domain);
		turn++;
		sendByTurns(report, near, frequentNearHosts);
		sendByTurns(report, far, frequentFarHosts);
	};

	socket.on('message', bytes => {
		try {
			const {report, kept} = JSON.parse(bytes.toString()) as Datagram;
			if (report) {
				hear(decodeReport(report));
			}

			if (kept) {
				onKeptNews(kept);
			}
		} catch (error) {
			log.warn({error: String(error)}, 'report can not be read');
		}
	});
	socket.on('error', error => {
		log.warn({error: String(error)}, 'report socket failed');
	});
	let timer: NodeJS.Timeout | undefined;

	return {
		async start() {
			const {host, port} = parseAddress(self.reports);
			await new Promise<void>(resolve => {
				socket.bind(port, host, resolve);
			});
			void keepListing();
			timer = setInterval(sendReport, reportMs);
		},
		alive: listAlive,
		async listAll() {
			await listHosts();
			return [...known.values()];
		},
		count: () => known.size + 1,
		tell(kept) {
			send({kept}, known.values());
		},
		stop() {
			hasStopped = true;
			clearInterval(timer);
			socket.close();
		},
	};
}
