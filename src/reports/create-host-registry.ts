import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {createInvalidEntryLog} from '../object-store/create-invalid-entry-log.js';
import {decodeRegistration, type Registration} from './decode-registration.js';
import {type HostRegistry} from './host-registry.js';
import {type HostStatus} from './host-status.js';
import {type KnownHost} from './known-host.js';

/** A host counts as unresponsive after this long without a report, or after several of its report intervals if that is longer. */
const minUnresponsiveMs = 1200;
const unresponsiveIntervals = 4;
/** The list of responsive hosts is cached for this long, since many tasks read it often. */
const aliveListTtlMs = 100;
/**
Time between two reads of the registered hosts from the object store. With more than `hostsPerListInterval` hosts, it grows
in proportion to their number; new hosts report to the others meanwhile.
*/
const listIntervalMs = 15_000;
const hostsPerListInterval = 16;
const retryDelayMs = 1000;
/** Hosts that have sent no report for this long are removed. */
const expireAfterMs = 60_000;

/** A host whose times are kept up to date in place, so that lists of hosts stay the same while only times change. */
type HostEntry = KnownHost & {heardAt: number | undefined};

function isSameList<T>(a: readonly T[], b: readonly T[]): boolean {
	return a.length === b.length && a.every((item, index) => item === b[index]);
}

/** Returns whether two descriptions of a host differ in nothing but when it was heard. */
function isSameHost(a: KnownHost, b: Omit<KnownHost, 'heardAt'>): boolean {
	return a.domain === b.domain && a.peers === b.peers && a.reports === b.reports && a.linkMbps === b.linkMbps && a.everyMs === b.everyMs
		&& a.isStoreLost === b.isStoreLost && a.countsAttempts === b.countsAttempts && a.claimsPlaces === b.claimsPlaces
		&& isSameList(a.lostServices ?? [], b.lostServices ?? []) && isSameList(a.unheard ?? [], b.unheard ?? []);
}

/** Options of `createHostRegistry`. */
type HostRegistryOptions = {
	readonly self: Registration;
	readonly store: ObjectStore;
	/** Kind of the objects under which hosts register. */
	readonly kind: string;
	/** Returns the newest epoch of the store. */
	readonly getEpoch: () => number;
	/** Called when a host is heard for the first time, or again. */
	readonly onHeard: () => void;
	readonly now: () => number;
};

/** Registers this host in the object store, lists the other hosts from there, and tracks which of them report. */
export function createHostRegistry({self, store, kind, getEpoch, onHeard, now}: HostRegistryOptions): HostRegistry {
	const known = new Map<string, HostEntry>();
	let knownHosts: readonly KnownHost[] | undefined;
	const logInvalid = createInvalidEntryLog(kind);
	let hasStopped = false;
	let aliveHosts: readonly KnownHost[] = [];
	let aliveListedAt = Number.NEGATIVE_INFINITY;

	const setHost = (entry: HostEntry): void => {
		known.set(entry.host, entry);
		knownHosts = undefined;
	};

	const listKnown = (): readonly KnownHost[] => {
		knownHosts ??= [...known.values()];
		return knownHosts;
	};

	const isAlive = ({heardAt, everyMs}: KnownHost): boolean =>
		heardAt !== undefined && now() - heardAt < Math.max(minUnresponsiveMs, everyMs * unresponsiveIntervals);

	const register = async (): Promise<void> => {
		if (await store.create(kind, self.host, self)) {
			return;
		}

		const stored = await store.read(kind, self.host);
		if (stored && JSON.stringify(stored.value) !== JSON.stringify(self)) {
			await store.replace(kind, self.host, self, stored);
		}
	};

	const listHosts = async (): Promise<void> => {
		const {objects} = await store.list(kind);
		for (const {name, value} of objects) {
			const entry = decodeRegistration(value, fault => {
				logInvalid(name, fault);
			});
			if (entry && entry.host !== self.host && !known.has(entry.host)) {
				setHost({
					...entry, heardAt: undefined, everyMs: 0, isStoreLost: false,
				});
			}
		}
	};

	const listPeriodically = async (): Promise<void> => {
		let registeredIn: number | undefined;
		while (!hasStopped) {
			try {
				// A store that came back from an older copy may have lost the registration.
				if (registeredIn === undefined || registeredIn !== getEpoch()) {
					await register();
					registeredIn = getEpoch();
				}

				await listHosts();
				await sleep(listIntervalMs * Math.max(1, known.size / hostsPerListInterval));
			} catch (error) {
				logFailure(error, {}, 'registering or listing hosts failed, retrying');
				await sleep(retryDelayMs);
			}
		}
	};

	return {
		start() {
			void listPeriodically();
		},
		recordStatus(status, heardAt) {
			const {
				host, domain, peers, reports, linkMbps, everyMs, isStoreLost, lostServices = [], unheard = [], countsAttempts = false, claimsPlaces = false,
			} = status;
			const previous = known.get(host);
			if (host === self.host || (previous?.heardAt ?? Number.NEGATIVE_INFINITY) > heardAt) {
				return;
			}

			if (!previous || !isAlive(previous)) {
				log.info({peer: host, address: peers}, 'peer heard');
				onHeard();
			}

			const described = {
				host, domain, peers, reports, linkMbps, everyMs, isStoreLost, lostServices, unheard, countsAttempts, claimsPlaces,
			};
			if (previous?.heardAt !== undefined && isSameHost(previous, described)) {
				previous.heardAt = heardAt;
			} else {
				setHost({...described, heardAt});
			}
		},
		alive() {
			if (now() - aliveListedAt >= aliveListTtlMs) {
				aliveListedAt = now();
				const hosts = listKnown().filter(entry => isAlive(entry));
				aliveHosts = isSameList(hosts, aliveHosts) ? aliveHosts : hosts;
			}

			return aliveHosts;
		},
		listKnown,
		countKnown: () => known.size,
		async refreshAndList() {
			await listHosts();
			return listKnown();
		},
		removeExpired() {
			for (const [name, {heardAt}] of known) {
				if (heardAt !== undefined && now() - heardAt > expireAfterMs) {
					known.delete(name);
					knownHosts = undefined;
				}
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
