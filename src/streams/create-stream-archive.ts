import {mergeServedVersions} from '../decide/streams/merge-served-versions.js';
import {groupStreams} from '../decide/streams/group-streams.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {archivedStreamsSchema} from './archived-streams.js';
import {type SeenVersion} from './seen-version.js';
import {type ServedVersion} from './served-version.js';
import {servedVersionsSchema} from './served-versions.js';
import {type StreamArchive} from './stream-archive.js';

/** Name of the object with the versions that serve; no host has it. */
const versionsName = '.versions';
/** Streams are written in slices: objects of one host, of which the oldest is used again for each new slice. */
const sliceMs = 2000;
const slices = 16;
/** Time between two writes of a host; grows with the hosts, so that all together stay far below the store's rate. */
const minWriteIntervalMs = 250;
const writeIntervalPerHostMs = 20;
const retryDelayMs = 500;
/** Time between two writes of a host that stops. */
const flushIntervalMs = 50;
/** Begun streams kept while the store does not take them. */
const maxUnwritten = 20_000;
/** The store is read again for a stream that nobody knows once this time has passed. */
const readIntervalMs = 500;
/** Hosts write a change of the versions after a random part of this time, unless another one has. */
const versionsSpreadMs = 600;

type Stream = {readonly id: string; readonly service: string; readonly version: string};

/** Dependencies of the archive. */
type StreamArchiveOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly store: Pick<ObjectStore, 'list' | 'create' | 'replace' | 'read'>;
	/** Kind of the objects. */
	readonly kind: string;
	/** Time for which a stream may be taken up, in milliseconds. */
	readonly retentionMs: number;
	readonly countHosts: () => number;
	readonly random: () => number;
	/** Called with the versions that the store shows, with their ages. */
	readonly onVersions: (seen: readonly SeenVersion[]) => void;
};

/**
Creates the archive. Failure pattern: all hosts are killed at once, and callers take up streams at hosts that have just started. The store holds
which versions serve, written when that changes, and, while a service has several, the streams that each host begins.
*/
export function createStreamArchive({host, store, kind, retentionMs, countHosts, random, onVersions}: StreamArchiveOptions): StreamArchive {
	/** Versions of streams that the store shows. */
	let archived: ReadonlyMap<string, string> = new Map();
	/** Versions as they were before this host started; `undefined` until the store has been read. */
	let initial: readonly ServedVersion[] | undefined;
	let versions: readonly ServedVersion[] = [];
	let listed: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	let readAt = Number.NEGATIVE_INFINITY;
	/** This host's slices in the store, by name. */
	const own = new Map<string, {readonly at: number; readonly stored: StoredObject}>();
	let slice: {readonly name: string; readonly at: number; readonly streams: readonly Stream[]} | undefined;
	let unwritten: Stream[] = [];
	let isWriting = false;
	/** Aborted when this host stops: writes no longer wait for others to join them. */
	const flushing = new AbortController();
	let written = Promise.resolve();
	let isWritingVersions = false;
	let hasStopped = false;

	const readVersions = (value: unknown): readonly ServedVersion[] => servedVersionsSchema.safeParse(value).data?.versions ?? [];

	const applyVersions = (read: readonly ServedVersion[]): void => {
		versions = read;
		onVersions(read.map(({service, version, until}) => ({service, version, ageMs: until === undefined ? 0 : Math.max(0, Date.now() - until)})));
	};

	const read = async (): Promise<void> => {
		const {objects} = await store.list(kind);
		readAt = performance.now();
		const found = new Map<string, string>();
		for (const object of objects) {
			const parsed = archivedStreamsSchema.safeParse(object.value);
			if (object.name === versionsName || !parsed.success) {
				continue;
			}

			const {at, groups} = parsed.data;
			if (object.name.startsWith(`${host}-`)) {
				own.set(object.name, {at, stored: object});
			}

			for (const {version, ids} of Date.now() - at <= retentionMs ? groups : []) {
				for (const id of ids) {
					found.set(id, version);
				}
			}
		}

		archived = found;
		const stored = readVersions(objects.find(({name}) => name === versionsName)?.value);
		initial ??= stored;
		applyVersions(stored);
	};

	const readAtStart = async (): Promise<void> => {
		while (initial === undefined && !hasStopped) {
			try {
				await read();
				log.info({streams: archived.size, versions}, 'streams of the time before read from the store');
			} catch (error) {
				logFailure(error, {}, 'streams could not be read from the store, retrying');
				await sleep(retryDelayMs);
			}
		}
	};

	const startSlice = (): NonNullable<typeof slice> => {
		const names = Array.from({length: slices}, (_, index) => `${host}-${index}`);
		const name = names.toSorted((a, b) => (own.get(a)?.at ?? 0) - (own.get(b)?.at ?? 0))[0]!;
		return {name, at: Date.now(), streams: []};
	};

	const writeSlice = async (): Promise<void> => {
		if (!slice || Date.now() - slice.at > sliceMs) {
			slice = startSlice();
		}

		const {name, at} = slice;
		const added = unwritten.length;
		const streams = [...slice.streams, ...unwritten];
		const groups = groupStreams(streams.map(stream => ({...stream, hosts: [name]}))).get(name) ?? [];
		const known = own.get(name)?.stored;
		try {
			const stored = known ? await store.replace(kind, name, {at, groups}, known) : await store.create(kind, name, {at, groups});
			if (!stored) {
				throw new Error('the object has changed meanwhile');
			}

			own.set(name, {at, stored});
			slice = {name, at, streams};
			unwritten = unwritten.slice(added);
		} catch (error) {
			// A write without an answer may have been made: the object's revision is not known any more.
			const current = await store.read(kind, name);
			if (current) {
				own.set(name, {at, stored: current});
			}

			throw error;
		}
	};

	const writeStreams = async (): Promise<void> => {
		isWriting = true;
		await readAtStart();
		while (unwritten.length > 0 && !hasStopped) {
			try {
				await writeSlice();
			} catch (error) {
				const dropped = unwritten.splice(0, Math.max(0, unwritten.length - maxUnwritten)).length;
				logFailure(error, {unwritten: unwritten.length, dropped}, 'begun streams could not be stored');
			}

			await sleep(flushing.signal.aborted ? flushIntervalMs : Math.max(minWriteIntervalMs, countHosts() * writeIntervalPerHostMs), flushing.signal.aborted ? undefined : flushing.signal);
		}

		isWriting = false;
	};

	const needsWrite = (merged: readonly ServedVersion[], stored: readonly ServedVersion[]): boolean => {
		const toKeys = (all: readonly ServedVersion[]): string => all.map(({service, version, until}) => `${service}\n${version}\n${until === undefined}`).toSorted().join('\n\n');
		return toKeys(merged) !== toKeys(stored);
	};

	const writeVersions = async (): Promise<void> => {
		isWritingVersions = true;
		await readAtStart();
		while (needsWrite(mergeServedVersions(versions, listed, retentionMs, Date.now()), versions) && !hasStopped) {
			await sleep(versionsSpreadMs * random());
			try {
				const object = await store.read(kind, versionsName);
				const stored = readVersions(object?.value);
				const merged = mergeServedVersions(stored, listed, retentionMs, Date.now());
				if (!needsWrite(merged, stored)) {
					applyVersions(stored);
					continue;
				}

				const value = {versions: merged};
				const written = await (object ? store.replace(kind, versionsName, value, object) : store.create(kind, versionsName, value));
				log.info({versions: merged, isWritten: written !== undefined}, 'versions that serve stored');
				if (written) {
					applyVersions(merged);
				}
			} catch (error) {
				logFailure(error, {}, 'versions that serve could not be stored, retrying');
				await sleep(retryDelayMs);
			}
		}

		isWritingVersions = false;
	};

	const startedReading = readAtStart();

	return {
		add(id, service, version) {
			unwritten.push({id, service, version});
			if (!isWriting) {
				written = writeStreams();
			}
		},
		async waitUntilRead(timeoutMs) {
			if (initial === undefined) {
				await Promise.race([startedReading, sleep(timeoutMs)]);
			}

			return initial !== undefined;
		},
		async lookUp(id) {
			try {
				if (!archived.has(id) && performance.now() - readAt > readIntervalMs) {
					await read();
				}
			} catch (error) {
				logFailure(error, {}, 'streams could not be read from the store');
			}

			return archived.get(id);
		},
		findOnlyVersion(service) {
			const before = (initial ?? []).filter(served => served.service === service && (served.until === undefined || Date.now() - served.until < retentionMs));
			return before.length === 1 ? before[0]!.version : undefined;
		},
		recordListed(now) {
			listed = now;
			if (!isWritingVersions) {
				void writeVersions();
			}
		},
		hasUnwritten: () => unwritten.length > 0,
		async flush(timeoutMs) {
			flushing.abort();
			await Promise.race([written, sleep(timeoutMs)]);
			log.info({unwritten: unwritten.length}, 'begun streams stored before the stop');
		},
		stop() {
			hasStopped = true;
		},
	};
}
