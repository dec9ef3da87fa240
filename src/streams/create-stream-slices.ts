import {groupStreams} from '../decide/streams/group-streams.js';
import {type ObjectStore} from '../object-store/object-store.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {sleep} from '../util/sleep.js';
import {waitUnlessAborted} from '../util/wait-unless-aborted.js';
import {type ArchivedStream} from './archived-stream.js';

/** Streams are written in slices: objects of one host, of which the oldest is used again for each new slice. */
const sliceMs = 2000;
const slices = 16;
/** Keeps a slice far below the size of an object that the store takes. */
const maxSliceStreams = 2000;
/** Time between two writes of a host; grows with the hosts, so that all together stay far below the store's rate. */
const minWriteIntervalMs = 250;
const writeIntervalPerHostMs = 20;
/** Time between two writes of a host that stops, or whose streams the store has lost. */
const urgentIntervalMs = 50;
/** Begun streams kept while the store does not take them. */
const maxUnwritten = 20_000;

/** Dependencies of the slices. */
type StreamSlicesOptions = {
	/** Name of this host. */
	readonly host: string;
	readonly store: Pick<ObjectStore, 'create' | 'replace' | 'read'>;
	readonly kind: string;
	/** Time for which a stream may be taken up, in milliseconds. */
	readonly retentionMs: number;
	readonly countHosts: () => number;
	/** Resolves once the store has been read, or this host stops. */
	readonly readAtStart: () => Promise<void>;
	readonly hasStopped: () => boolean;
};

/** The begun streams of a host, in slices in the store. */
type StreamSlices = {
	readonly add: (id: string, service: string, version: string) => void;
	/** Takes in a slice of this host as it lies in the store. */
	readonly recordOwn: (object: StoredObject, streams: readonly ArchivedStream[]) => void;
	/** Writes all again that may still be taken up: the store has returned from an older copy. */
	readonly writeAgain: () => void;
	readonly hasUnwritten: () => boolean;
	/** Writes without pauses what is not in the store yet; resolves once it is there, at the latest after a time in milliseconds. */
	readonly flush: (timeoutMs: number) => Promise<void>;
};

/** Creates the slices of a host. */
export function createStreamSlices({host, store, kind, retentionMs, countHosts, readAtStart, hasStopped}: StreamSlicesOptions): StreamSlices {
	/** This host's slices in the store, by name; `stored` is `undefined` where its revision is not known. */
	const own = new Map<string, {readonly at: number; readonly stored: StoredObject | undefined}>();
	let slice: {readonly name: string; readonly at: number; readonly streams: readonly ArchivedStream[]} | undefined;
	let unwritten: ArchivedStream[] = [];
	/** Streams that the store has taken, the oldest first. */
	let kept: ArchivedStream[] = [];
	/** Number of streams that the store has lost and that are written again without long pauses. */
	let lost = 0;
	let isWriting = false;
	let isFlushing = false;
	/** Ends the wait for a write that began before the store lost what it had. */
	let write = new AbortController();
	/** Ends the pause in which further streams join the next write. */
	let pause = new AbortController();
	let written = Promise.resolve();

	const listKept = (): ArchivedStream[] => kept.filter(({at}) => Date.now() - at <= retentionMs);

	const startSlice = (): NonNullable<typeof slice> => {
		const names = Array.from({length: slices}, (_, index) => `${host}-${index}`);
		const name = names.toSorted((a, b) => (own.get(a)?.at ?? 0) - (own.get(b)?.at ?? 0))[0]!;
		return {name, at: Date.now(), streams: []};
	};

	const writeSlice = async (): Promise<void> => {
		if (!slice || Date.now() - slice.at > sliceMs || slice.streams.length >= maxSliceStreams) {
			slice = startSlice();
		}

		const current = slice;
		const {name, at} = current;
		const added = unwritten.slice(0, maxSliceStreams - current.streams.length);
		const streams = [...current.streams, ...added];
		const groups = groupStreams(streams.map(stream => ({...stream, hosts: [name]}))).get(name) ?? [];
		try {
			const known = own.get(name)?.stored ?? await store.read(kind, name);
			const stored = known ? await store.replace(kind, name, {at, groups}, known) : await store.create(kind, name, {at, groups});
			if (!stored) {
				throw new Error('the object has changed meanwhile');
			}

			if (slice !== current) {
				// The store has returned from an older copy meanwhile.
				return;
			}

			own.set(name, {at, stored});
			slice = {name, at, streams};
			unwritten = unwritten.slice(added.length);
			lost = Math.max(0, lost - added.length);
			kept = [...listKept(), ...added];
		} catch (error) {
			// A write without an answer may have been made: the object's revision is not known any more.
			own.set(name, {at, stored: undefined});
			// A store that does not take writes is not hurried.
			lost = 0;
			const dropped = unwritten.splice(0, Math.max(0, unwritten.length - maxUnwritten)).length;
			logFailure(error, {unwritten: unwritten.length, dropped}, 'begun streams could not be stored');
		}
	};

	const getPauseMs = (): number =>
		isFlushing || lost > 0 ? urgentIntervalMs : Math.max(minWriteIntervalMs, countHosts() * writeIntervalPerHostMs);

	const writeStreams = async (): Promise<void> => {
		isWriting = true;
		await readAtStart();
		while (unwritten.length > 0 && !hasStopped()) {
			await waitUnlessAborted(writeSlice(), write.signal);
			pause = new AbortController();
			await sleep(getPauseMs(), pause.signal);
		}

		isWriting = false;
	};

	const startWriting = (): void => {
		if (!isWriting) {
			written = writeStreams();
		}
	};

	return {
		add(id, service, version) {
			unwritten.push({
				id, service, version, at: Date.now(),
			});
			startWriting();
		},
		recordOwn(object, streams) {
			own.set(object.name, {at: streams[0]?.at ?? 0, stored: object});
			kept = [...streams, ...kept];
		},
		writeAgain() {
			const again = listKept();
			own.clear();
			slice = undefined;
			kept = [];
			unwritten = [...again, ...unwritten];
			lost = unwritten.length;
			if (again.length > 0) {
				log.info({streams: again.length}, 'begun streams are stored again after the return of the store');
			}

			write.abort();
			write = new AbortController();
			pause.abort();
			startWriting();
		},
		hasUnwritten: () => unwritten.length > 0,
		async flush(timeoutMs) {
			isFlushing = true;
			pause.abort();
			await Promise.race([written, sleep(timeoutMs)]);
			log.info({unwritten: unwritten.length}, 'begun streams stored before the stop');
		},
	};
}
