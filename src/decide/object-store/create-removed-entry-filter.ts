import {type StoredObject} from '../../object-store/stored-object.js';
import {comparePositions} from './compare-positions.js';

/** A copy that the store returns from is some seconds old; removals and starts before that are in it. */
const retentionMs = 60_000;

/** Options of `createRemovedEntryFilter`. */
type RemovedEntryFilterOptions = {
	/** Whether two values describe the same start of the process that registered itself. */
	readonly isSameStart: (a: unknown, b: unknown) => boolean;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** Returns the entries that count. */
type EntryFilter = (objects: readonly StoredObject[], epoch: number) => readonly StoredObject[];

/** An entry that counted until then. */
type FormerEntry = {readonly object: StoredObject; readonly at: number};

/** An entry that the copy shows in an earlier state. */
type RevivedEntry = {
	/** Its revision in the current epoch. */
	readonly revision: number;
	/** The state that counts until the entry is written again; `undefined` where it had been removed. */
	readonly known: StoredObject | undefined;
};

/**
Creates a filter of registered entries. An entry that was removed before the store came back from an older copy, and that the copy shows again,
counts again only once it is written again. Where the copy shows an earlier start than the one known, the known one counts until then.
*/
export function createRemovedEntryFilter({isSameStart, now}: RemovedEntryFilterOptions): EntryFilter {
	const removed = new Map<string, FormerEntry>();
	/** Starts that were followed by another one, by name. */
	const earlier = new Map<string, readonly FormerEntry[]>();
	let revived: ReadonlyMap<string, RevivedEntry> = new Map();
	let present: ReadonlyMap<string, StoredObject> = new Map();
	let current: number | undefined;

	const isRecent = ({at}: FormerEntry): boolean => now() - at <= retentionMs;

	const forgetOld = (): void => {
		for (const [name, former] of removed) {
			if (!isRecent(former)) {
				removed.delete(name);
			}
		}

		for (const [name, formers] of earlier) {
			const recent = formers.filter(former => isRecent(former));
			if (recent.length === 0) {
				earlier.delete(name);
			} else {
				earlier.set(name, recent);
			}
		}
	};

	const recordChanges = (objects: ReadonlyMap<string, StoredObject>): void => {
		for (const [name, before] of present) {
			const object = objects.get(name);
			if (!object) {
				removed.set(name, {object: before, at: now()});
			} else if (comparePositions(object, before) !== 0 && !isSameStart(before.value, object.value)) {
				earlier.set(name, [...earlier.get(name) ?? [], {object: before, at: now()}]);
			}
		}

		forgetOld();
	};

	/** Returns the entry under which the copy shows an earlier state, until it is written again. */
	const getRevived = ({name, revision}: StoredObject): RevivedEntry | undefined => {
		const entry = revived.get(name);
		return entry?.revision === revision ? entry : undefined;
	};

	const findRevived = (object: StoredObject): RevivedEntry | undefined => {
		const {name, revision, value} = object;
		const before = getRevived(object);
		if (before) {
			return before;
		}

		const gone = removed.get(name);
		if (gone && isSameStart(gone.object.value, value)) {
			return {revision, known: undefined};
		}

		const known = present.get(name);
		const isEarlier = earlier.get(name)?.some(former => isSameStart(former.object.value, value)) ?? false;
		return known && isEarlier && !isSameStart(known.value, value) ? {revision, known} : undefined;
	};

	return (objects, epoch) => {
		if (current !== undefined && epoch > current) {
			revived = new Map(objects.flatMap(object => {
				const entry = findRevived(object);
				return entry ? [[object.name, entry] as const] : [];
			}));
		}

		const shown = new Map(objects.map(object => [object.name, getRevived(object)?.known ?? object]));
		if (current === undefined || epoch <= current) {
			recordChanges(shown);
		}

		current = epoch;
		present = shown;
		return objects.filter(object => {
			const entry = getRevived(object);
			return !entry || entry.known !== undefined;
		}).map(({name}) => shown.get(name)!);
	};
}
