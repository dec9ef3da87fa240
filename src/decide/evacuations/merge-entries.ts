import {type EvacuationEntry} from './evacuation-entry.js';
import {isRemovedEntry} from './is-removed-entry.js';
import {toRemovedEntry} from './to-removed-entry.js';

/** Records of removed entries that a host keeps; there are far fewer failure domains. */
const maxRemovedEntries = 500;

/** The entries of the store or of another host, at a position of the store's history. */
type ReceivedEntries = {
	readonly objects: readonly EvacuationEntry[];
	readonly epoch: number;
	readonly revision: number;
};

function isNewerEntry(a: EvacuationEntry, b: EvacuationEntry): boolean {
	return (a.epoch - b.epoch || a.revision - b.revision) > 0;
}

/**
Merges received entries with the known ones. Fault patterns: a store that returns from an older copy does not list an entry that it had
acknowledged, which stays until it is written again and removed; a host that was cut off still has an entry whose removal it has missed.

@param isNewer - Whether the received entries are all of a later position than the known ones. If not, an entry is removed only by a record of
its removal.
*/
export function mergeEntries(known: readonly EvacuationEntry[], {objects, epoch, revision}: ReceivedEntries, isNewer: boolean): readonly EvacuationEntry[] {
	const merged = new Map(objects.map(entry => [entry.name, entry]));
	for (const entry of known) {
		const received = merged.get(entry.name);
		if (received) {
			merged.set(entry.name, isNewerEntry(entry, received) ? entry : received);
		} else {
			const isRemoved = isNewer && entry.epoch === epoch && !isRemovedEntry(entry);
			merged.set(entry.name, isRemoved ? toRemovedEntry(entry, {epoch, revision}) : entry);
		}
	}

	const all = [...merged.values()];
	const removed = all.filter(entry => isRemovedEntry(entry));
	if (removed.length <= maxRemovedEntries) {
		return all;
	}

	const forgotten = new Set(removed.toSorted((a, b) => isNewerEntry(a, b) ? 1 : -1).slice(0, removed.length - maxRemovedEntries));
	return all.filter(entry => !forgotten.has(entry));
}
