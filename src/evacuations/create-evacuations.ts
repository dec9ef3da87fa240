import {diffEvacuations} from '../decide/evacuations/diff-evacuations.js';
import {getEntriesVersion} from '../decide/evacuations/get-entries-version.js';
import {type EvacuationEntry} from '../decide/evacuations/evacuation-entry.js';
import {isRemovedEntry} from '../decide/evacuations/is-removed-entry.js';
import {mergeEntries} from '../decide/evacuations/merge-entries.js';
import {toRemovedEntry} from '../decide/evacuations/to-removed-entry.js';
import {retryAfterSpread} from '../forwarding/retry-after-spread.js';
import {type Upstream} from '../forwarding/upstream.js';
import {log} from '../observe/log.js';
import {type StorePosition} from '../object-store/store-position.js';
import {refreshEvery} from '../util/refresh-every.js';
import {type EvacuationResult} from './evacuation-result.js';
import {type Evacuations} from './evacuations.js';

/**
Least time after which a refused request is to come back. An evacuation lasts until an operator ends it, so callers need not come back as soon
as after a short overload, and find the domain in service within this time of its return.
*/
const minReturnMs = 2000;
/** The services with upstreams out of service are listed anew this often, for the count of requests that went elsewhere. */
const servicesMs = 300;

const removals = {
	merge: mergeEntries, getVersion: getEntriesVersion, isRemoved: isRemovedEntry, toRemoved: toRemovedEntry,
} as const;

/** Dependencies of the evacuations. */
type EvacuationsOptions = {
	/** Kind of the operator's entries in the store. */
	readonly kind: string;
	/** Whether the deployment has evacuations; if not, nothing is watched. */
	readonly isEnabled: boolean;
	/** Whether this host has asked others for entries that the store may have lost. */
	readonly hasAskedPeers: () => boolean;
	readonly listUpstreams: () => readonly Upstream[];
	/** Called when a failure domain is back in service, with the position of the store at which its entry was removed, or a later one. */
	readonly onReturned: (domain: string, removedAt: StorePosition) => void;
	/** Counts a request that was affected. */
	readonly onRequest: (result: EvacuationResult) => void;
	/** Clock in milliseconds that also advances while the machine is suspended. */
	readonly now: () => number;
	readonly random: () => number;
};

/** Creates the record of the failure domains that are out of service, which follows the operator's entries in the store. */
export function createEvacuations({kind, isEnabled, hasAskedPeers, listUpstreams, onReturned, onRequest, now, random}: EvacuationsOptions): Evacuations {
	let inForce: ReadonlyMap<string, EvacuationEntry> = new Map();
	const knownSince = new Map<string, number>();
	/** Domains whose entry the returned store does not list. */
	const unlisted = new Set<string>();
	let hasEntries = false;

	const logUnlisted = (epoch: number): void => {
		for (const entry of inForce.values()) {
			const isListed = entry.epoch === epoch;
			if (!isListed && !unlisted.has(entry.name)) {
				unlisted.add(entry.name);
				log.warn({domain: entry.name, epoch, writtenIn: entry.epoch}, 'failure domain stays out of service, the returned store does not list its entry');
			} else if (isListed) {
				unlisted.delete(entry.name);
			}
		}
	};

	const applyEntries = (entries: readonly EvacuationEntry[], confirmedAt: number | undefined, epoch: number): void => {
		const before = inForce;
		const change = diffEvacuations(before, entries);
		inForce = change.inForce;
		hasEntries = true;
		for (const {name: domain, revision} of change.begun) {
			knownSince.set(domain, now());
			log.info({
				domain, epoch, revision, maxAgeMs: confirmedAt === undefined ? 'unknown' : Math.round(now() - confirmedAt),
				upstreams: listUpstreams().filter(upstream => upstream.domain === domain).length,
			}, 'failure domain taken out of service');
		}

		for (const {name: domain, epoch: removedIn, revision} of change.ended) {
			log.info({
				domain, epoch: removedIn, revision, ageMs: Math.round(now() - knownSince.get(domain)!),
			}, 'failure domain back in service');
			knownSince.delete(domain);
			unlisted.delete(domain);
			onReturned(domain, {epoch: removedIn, revision});
		}

		logUnlisted(epoch);
	};

	const isKnown = (): boolean => !isEnabled || (hasEntries && hasAskedPeers());
	const isEvacuated = (domain: string): boolean => !isKnown() || inForce.has(domain);
	const isActive = (): boolean => !isKnown() || inForce.size > 0;
	const listServices = refreshEvery(servicesMs, now, () => new Set(listUpstreams().filter(({domain}) => isEvacuated(domain)).map(({service}) => service)));

	const fetchesFromEvacuated = ({options: {fetchFrom}}: Parameters<Evacuations['maySend']>[2]): boolean => {
		const sources = new Set(fetchFrom.filter(address => address !== undefined));
		return sources.size > 0 && listUpstreams().some(({address, domain}) => isEvacuated(domain) && sources.has(address));
	};

	return {
		watched: isEnabled ? [{kind, removals, onChange: applyEntries}] : [],
		isKnown,
		isEvacuated,
		count: () => inForce.size,
		maySend(requestId, service, placement) {
			if (!isActive()) {
				return true;
			}

			const {upstream} = placement;
			if (isEvacuated(upstream.domain) || fetchesFromEvacuated(placement)) {
				onRequest('withdrawn');
				log.info({requestId, upstream: upstream.id, domain: upstream.domain}, 'placed request is not sent, its failure domain is out of service');
				return false;
			}

			if (listServices().has(service)) {
				onRequest('elsewhere');
			}

			return true;
		},
		findRefusal(service, softwareVersion) {
			if (!isActive()) {
				return undefined;
			}

			const domains = new Set(listUpstreams()
				.filter(upstream => upstream.service === service && !upstream.isLeaving && isEvacuated(upstream.domain))
				.filter(upstream => softwareVersion === undefined || upstream.softwareVersion === softwareVersion)
				.map(({domain}) => domain));
			if (domains.size === 0) {
				return undefined;
			}

			onRequest('refused');
			return {
				detail: isKnown() ? `all upstreams are in failure domains out of service: ${[...domains].join(', ')}` : 'the failure domains out of service are not known yet',
				retryAfterMs: minReturnMs + (random() * retryAfterSpread.spreadMs),
			};
		},
	};
}
