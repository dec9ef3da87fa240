import {type StoredObject} from '../../object-store/stored-object.js';

/** A copy that the store returns from is some seconds old; removals before that are in it. */
const removalRetentionMs = 60_000;

/** Options of `createRemovedEntryFilter`. */
type RemovedEntryFilterOptions = {
	/** Whether two values describe the same start of the process that registered itself. */
	readonly isSameStart: (a: unknown, b: unknown) => boolean;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** Returns the entries that count. */
type EntryFilter = (objects: readonly StoredObject[], epoch: number) => readonly StoredObject[];

/**
Creates a filter of registered entries. An entry that was removed before the store came back from an older copy, and that the copy shows again,
counts again only once it is written again.
*/
export function createRemovedEntryFilter({isSameStart, now}: RemovedEntryFilterOptions): EntryFilter {
	const removed = new Map<string, {readonly object: StoredObject; readonly at: number}>();
	/** Revisions in the current epoch of the entries that the copy shows again, by name. */
	let revived: ReadonlyMap<string, number> = new Map();
	let present: ReadonlyMap<string, StoredObject> = new Map();
	let current: number | undefined;

	const recordRemovals = (names: ReadonlySet<string>): void => {
		for (const [name, object] of present) {
			if (!names.has(name)) {
				removed.set(name, {object, at: now()});
			}
		}

		for (const [name, {at}] of removed) {
			if (now() - at > removalRetentionMs) {
				removed.delete(name);
			}
		}
	};

	const isRemoved = ({name, value}: StoredObject): boolean => {
		const known = removed.get(name);
		return known !== undefined && isSameStart(known.object.value, value);
	};

	return (objects, epoch) => {
		if (current !== undefined && epoch > current) {
			revived = new Map(objects.filter(object => isRemoved(object) || revived.get(object.name) === object.revision).map(({name, revision}) => [name, revision]));
		} else {
			recordRemovals(new Set(objects.map(({name}) => name)));
		}

		current = epoch;
		present = new Map(objects.map(object => [object.name, object]));
		return objects.filter(({name, revision}) => revived.get(name) !== revision);
	};
}
