import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type HostRegistry} from './host-registry.js';
import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';
import {type ObjectStore} from './object-store.js';

/** A host that stays out for several of its intervals, and at least for this long, counts as unreachable. */
const silentMs = 1200;
const silentReports = 4;
/** The list of hosts that are heard is made again this often; many tasks ask for it. */
const aliveMs = 100;
/** How often the hosts registered in the store are read again; rarer in proportion to hosts, since newcomers report to others. */
const listMs = 15_000;
const frequentlyListedHosts = 16;
const retryMs = 1000;
/** Hosts that have been silent for this long are forgotten. */
const forgetMs = 60_000;

/** What a host registers. */
type Registration = Pick<HostStatus, 'host' | 'domain' | 'peers' | 'reports' | 'linkMbps'>;

/** What the registry needs. */
type HostRegistryOptions = {
	readonly self: Registration;
	readonly store: ObjectStore;
	/** Kind of the objects under which hosts register. */
	readonly kind: string;
	readonly now: () => number;
};

/** Registers this host in the store, finds the others there, and remembers which of them are heard. */
export function createHostRegistry({self, store, kind, now}: HostRegistryOptions): HostRegistry {
	const known = new Map<string, KnownHost>();
	let hasStopped = false;
	let living: readonly KnownHost[] = [];
	let listedAt = Number.NEGATIVE_INFINITY;

	const isAlive = ({heardAt, everyMs}: KnownHost): boolean => heardAt !== undefined && now() - heardAt < Math.max(silentMs, everyMs * silentReports);

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
			const entry = value as Registration;
			if (entry.host !== self.host && !known.has(entry.host)) {
				known.set(entry.host, {
					...entry, heardAt: undefined, everyMs: 0, isStoreLost: false,
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

	return {
		start() {
			void keepListing();
		},
		recordStatus(status, heardAt) {
			const {
				host, domain, peers, reports, linkMbps, everyMs, isStoreLost,
			} = status;
			const before = known.get(host);
			if (host === self.host || (before?.heardAt ?? Number.NEGATIVE_INFINITY) > heardAt) {
				return;
			}

			if (!before || !isAlive(before)) {
				log.info({peer: host, address: peers}, 'peer heard');
			}

			known.set(host, {
				host, domain, peers, reports, linkMbps, everyMs, isStoreLost, heardAt,
			});
		},
		alive() {
			if (now() - listedAt >= aliveMs) {
				listedAt = now();
				living = [...known.values()].filter(entry => isAlive(entry));
			}

			return living;
		},
		listKnown: () => [...known.values()],
		countKnown: () => known.size,
		async refreshAndList() {
			await listHosts();
			return [...known.values()];
		},
		removeExpired() {
			for (const [name, {heardAt}] of known) {
				if (heardAt !== undefined && now() - heardAt > forgetMs) {
					known.delete(name);
				}
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
