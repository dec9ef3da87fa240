import {type EvacuationEntry} from './evacuation-entry.js';
import {removedValue} from './removed-value.js';

/** Returns the record that an entry was removed at a position of the store, or before it. */
export function toRemovedEntry({name}: Pick<EvacuationEntry, 'name'>, {epoch, revision}: Pick<EvacuationEntry, 'epoch' | 'revision'>): EvacuationEntry {
	return {
		name, epoch, revision, value: removedValue,
	};
}
