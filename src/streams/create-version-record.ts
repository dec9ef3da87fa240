import {mergeServedVersions} from '../decide/streams/merge-served-versions.js';
import {type ServedVersion} from '../decide/streams/served-version.js';
import {uniteServedVersions} from '../decide/streams/unite-served-versions.js';
import {type EpochTracker} from '../object-store/epoch-tracker.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type SeenVersion} from './seen-version.js';
import {servedVersionsSchema} from './served-versions.js';

const retryDelayMs = 500;
/** Hosts write a change of the versions after a random part of this time, unless another one has. */
const maxSpreadMs = 600;
const spreadPerHostMs = 20;
/** Time between two checks whether this host can confirm the record. */
const confirmRetryMs = 100;
/** Epoch of a store that has never returned from an older copy. */
const firstEpoch = 1;
/** Upstreams have written their entries again this long after a return of the store. */
const registrationMs = 2500;

/** Dependencies of the record. */
type VersionRecordOptions = {
	readonly store: Pick<ObjectStore, 'create' | 'replace' | 'read'>;
	/** Kind and name of its object. */
	readonly kind: string;
	readonly name: string;
	readonly epochs: Pick<EpochTracker, 'current'>;
	/** Time for which a version counts after its upstreams have gone, in milliseconds. */
	readonly retentionMs: number;
	readonly countHosts: () => number;
	readonly random: () => number;
	/** Returns whether this host knows of each version that serves now. */
	readonly isInStep: () => boolean;
	/** Resolves once the store has been read, or this host stops. */
	readonly readAtStart: () => Promise<void>;
	readonly hasStopped: () => boolean;
	/** Called with the versions that the record shows, with their ages. */
	readonly onVersions: (seen: readonly SeenVersion[]) => void;
};

/** The software versions that serve, in the store. */
type VersionRecord = {
	/** Takes in the object as it was read in an epoch; `undefined` where there is none. */
	readonly apply: (object: StoredObject | undefined, epoch: number) => void;
	readonly hasRead: () => boolean;
	/** Returns for how long, in milliseconds, a version may have served that neither the store nor this host knows of; 0 if there is none. */
	readonly doubtMs: () => number;
	/** Returns whether a service had one version when this host started. */
	readonly isFromBefore: (service: string) => boolean;
	/** Returns the version of a service that has served the longest, where it still does. */
	readonly findOldest: (service: string) => string | undefined;
	/** Returns the version of a service that has served the longest of those that still do. */
	readonly findOldestListed: (service: string) => string | undefined;
	readonly recordListed: (listed: ReadonlyMap<string, ReadonlySet<string>>) => void;
	/** Writes what differs from the store, if anything does. */
	readonly update: () => void;
};

function differ(merged: readonly ServedVersion[], stored: readonly ServedVersion[]): boolean {
	const toKeys = (all: readonly ServedVersion[]): string => all.map(({service, version, until}) => `${service}\n${version}\n${until === undefined}`).toSorted().join('\n\n');
	return toKeys(merged) !== toKeys(stored);
}

/**
Creates the record. Failure pattern: the store returns from an older copy and has lost a version and the streams that it began, all hosts are killed, and
those that start take what the store shows for all that there is. The record names the epoch of the store in which a host that had been there before
confirmed it. A host that starts is in doubt where that is not the present epoch, until the upstreams have written their entries again.
*/
export function createVersionRecord(options: VersionRecordOptions): VersionRecord {
	const {store, kind, name, epochs, retentionMs, countHosts, random, isInStep, readAtStart, hasStopped, onVersions} = options;
	/** Versions as they were before this host started; `undefined` until the store has been read. */
	let initial: readonly ServedVersion[] | undefined;
	let isInitialComplete = false;
	let doubtEndsAt = Number.NEGATIVE_INFINITY;
	let versions: readonly ServedVersion[] = [];
	let confirmedIn: number | undefined;
	let readIn = 0;
	/** Epoch of the store that has all that this host knows. */
	let mergedIn = 0;
	let listed: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	let isWriting = false;

	const doubtMs = (): number => Math.max(0, doubtEndsAt - performance.now());

	const show = (shown: readonly ServedVersion[], confirmed: number | undefined, epoch: number): void => {
		versions = shown;
		confirmedIn = confirmed;
		readIn = epoch;
		onVersions(shown.map(({service, version, until}) => ({service, version, ageMs: until === undefined ? 0 : Math.max(0, Date.now() - until)})));
	};

	const beginDoubt = (epoch: number, confirmed: number | undefined): void => {
		doubtEndsAt = performance.now() + registrationMs;
		log.warn({epoch, confirmedIn: confirmed, forMs: registrationMs}, 'store has returned from an older copy and may lack versions that served');
	};

	const complete = (shown: readonly ServedVersion[]): void => {
		initial = shown;
		isInitialComplete = true;
		doubtEndsAt = Number.NEGATIVE_INFINITY;
	};

	/** @returns The versions that the object lists. */
	const takeIn = (object: StoredObject | undefined, epoch: number): readonly ServedVersion[] => {
		const {versions: stored, epoch: confirmed} = servedVersionsSchema.safeParse(object?.value).data ?? {versions: []};
		const isFirst = initial === undefined;
		const shown = isFirst || mergedIn === epoch ? stored : uniteServedVersions(versions, stored);
		if (!isInitialComplete && (confirmed === epoch || epoch <= firstEpoch)) {
			complete(shown);
		} else if (isFirst || (epoch !== readIn && doubtMs() > 0)) {
			initial = shown;
			beginDoubt(epoch, confirmed);
		}

		if (isFirst) {
			mergedIn = epoch;
		}

		show(shown, confirmed, epoch);
		return stored;
	};

	const merge = (): readonly ServedVersion[] => mergeServedVersions(versions, listed, retentionMs, Date.now());
	const hasChange = (): boolean => mergedIn !== epochs.current() || differ(merge(), versions);
	const needsConfirmation = (): boolean => confirmedIn !== epochs.current() && doubtMs() === 0;

	const write = async (): Promise<void> => {
		const object = await store.read(kind, name);
		const epoch = object?.epoch ?? epochs.current();
		const stored = takeIn(object, epoch);
		const merged = merge();
		const confirmed = doubtMs() === 0 && isInStep() ? epoch : confirmedIn;
		if (differ(merged, stored) || confirmed !== confirmedIn) {
			const value = {versions: merged, epoch: confirmed};
			const written = await (object ? store.replace(kind, name, value, object) : store.create(kind, name, value));
			log.info({versions: merged, confirmedIn: confirmed, isWritten: written !== undefined}, 'versions that serve stored');
			if (written?.epoch !== epoch) {
				return;
			}

			show(merged, confirmed, epoch);
		}

		mergedIn = epoch;
	};

	const writeWhileNeeded = async (): Promise<void> => {
		isWriting = true;
		await readAtStart();
		while ((hasChange() || needsConfirmation()) && !hasStopped()) {
			if (!hasChange() && !isInStep()) {
				await sleep(confirmRetryMs);
				continue;
			}

			await sleep(Math.min(maxSpreadMs, countHosts() * spreadPerHostMs) * random());
			try {
				await write();
			} catch (error) {
				logFailure(error, {}, 'versions that serve could not be stored, retrying');
				await sleep(retryDelayMs);
			}
		}

		isWriting = false;
	};

	/** All hosts find the versions in one order, that in which the store took them. */
	const listServed = (service: string): readonly ServedVersion[] => versions.filter(served => served.service === service);
	const isListed = ({service, version}: ServedVersion): boolean => listed.get(service)?.has(version) ?? false;

	const update = (): void => {
		if (!isWriting) {
			void writeWhileNeeded();
		}
	};

	return {
		apply(object, epoch) {
			takeIn(object, epoch);
		},
		hasRead: () => initial !== undefined,
		doubtMs,
		isFromBefore(service) {
			const before = (initial ?? []).filter(served => served.service === service && (served.until === undefined || Date.now() - served.until < retentionMs));
			return isInitialComplete && before.length === 1;
		},
		findOldest(service) {
			const [oldest] = listServed(service);
			return isInitialComplete && oldest && isListed(oldest) ? oldest.version : undefined;
		},
		findOldestListed: service => listServed(service).find(served => isListed(served))?.version,
		recordListed(current) {
			listed = current;
			update();
		},
		update,
	};
}
