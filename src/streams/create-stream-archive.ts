import {type EpochTracker} from '../object-store/epoch-tracker.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {type ArchivedStream} from './archived-stream.js';
import {archivedStreamsSchema} from './archived-streams.js';
import {createStreamSlices} from './create-stream-slices.js';
import {createVersionRecord} from './create-version-record.js';
import {type SeenVersion} from './seen-version.js';
import {type StreamArchive} from './stream-archive.js';

/** Name of the object with the versions that serve; no host has it. */
const versionsName = '.versions';
const retryDelayMs = 500;
/** The store is read again for a stream that nobody knows once this time has passed. */
const readIntervalMs = 500;

/** Dependencies of the archive. */
type StreamArchiveOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly store: Pick<ObjectStore, 'list' | 'create' | 'replace' | 'read'>;
	/** Kind of the objects. */
	readonly kind: string;
	readonly epochs: Pick<EpochTracker, 'current' | 'endOfCurrent'>;
	/** Time for which a stream may be taken up, in milliseconds. */
	readonly retentionMs: number;
	readonly countHosts: () => number;
	readonly random: () => number;
	/** Returns whether this host knows of each version that serves now. */
	readonly isInStep: () => boolean;
	/** Called with the versions that the store shows, with their ages. */
	readonly onVersions: (seen: readonly SeenVersion[]) => void;
};

/** Returns the streams of a slice; `undefined` where an object is none. */
function toStreams({value}: StoredObject): readonly ArchivedStream[] | undefined {
	const {data} = archivedStreamsSchema.safeParse(value);
	return data?.groups.flatMap(({service, version, ids}) => ids.map(id => ({
		id, service, version, at: data.at,
	})));
}

/**
Creates the archive. Failure pattern: all hosts are killed at once, and callers take up streams at hosts that have just started. The store holds
which versions serve, written when that changes, and, while a service has several, the streams that each host begins. What it loses when it returns from
an older copy is written again by the hosts that know it.
*/
export function createStreamArchive({host, store, kind, epochs, retentionMs, countHosts, random, isInStep, onVersions}: StreamArchiveOptions): StreamArchive {
	/** Streams that the store shows, or has shown. */
	let archived = new Map<string, ArchivedStream>();
	let readAt = Number.NEGATIVE_INFINITY;
	let hasStopped = false;

	const hasJustRead = (): boolean => performance.now() - readAt <= readIntervalMs;

	const readAtStart = async (): Promise<void> => {
		while (!record.hasRead() && !hasStopped) {
			try {
				await read();
				log.info({streams: archived.size}, 'streams of the time before read from the store');
			} catch (error) {
				logFailure(error, {}, 'streams could not be read from the store, retrying');
				await sleep(retryDelayMs);
			}
		}
	};

	const shared = {
		store, kind, retentionMs, countHosts, readAtStart, hasStopped: () => hasStopped,
	};
	const record = createVersionRecord({
		...shared, name: versionsName, epochs, random, isInStep, onVersions,
	});
	const slices = createStreamSlices({...shared, host});

	const read = async (): Promise<void> => {
		const {objects, epoch} = await store.list(kind);
		readAt = performance.now();
		// A store that has returned from an older copy shows less than before.
		const found = new Map([...archived].filter(([, {at}]) => Date.now() - at <= retentionMs));
		for (const object of objects) {
			const streams = toStreams(object);
			if (object.name === versionsName || !streams) {
				continue;
			}

			const recent = streams.filter(({at}) => Date.now() - at <= retentionMs);
			for (const stream of recent) {
				found.set(stream.id, stream);
			}

			if (!record.hasRead() && object.name.startsWith(`${host}-`)) {
				slices.recordOwn(object, streams);
			}
		}

		archived = found;
		record.apply(objects.find(({name}) => name === versionsName), epoch);
	};

	/** Hosts that live on have what the store loses, and write it again before they are killed too. */
	const followEpochs = (): void => {
		const before = epochs.current();
		epochs.endOfCurrent().addEventListener('abort', () => {
			if (hasStopped) {
				return;
			}

			followEpochs();
			if (before > 0) {
				slices.writeAgain();
				record.update();
			}
		}, {once: true});
	};

	followEpochs();
	const startedReading = readAtStart();

	return {
		add: slices.add,
		async waitUntilRead(timeoutMs) {
			if (!record.hasRead()) {
				await Promise.race([startedReading, sleep(timeoutMs)]);
			}

			return record.hasRead();
		},
		async lookUp(id) {
			try {
				if (!archived.has(id) && !hasJustRead()) {
					await read();
				}
			} catch (error) {
				logFailure(error, {}, 'streams could not be read from the store');
			}

			return archived.get(id)?.version;
		},
		hasJustRead,
		doubtMs: record.doubtMs,
		isFromBefore: record.isFromBefore,
		findOldest: record.findOldest,
		findOldestListed: record.findOldestListed,
		recordListed: record.recordListed,
		hasUnwritten: slices.hasUnwritten,
		flush: slices.flush,
		stop() {
			hasStopped = true;
		},
	};
}
