import {type EvacuationEntry} from './evacuation-entry.js';
import {removedValue} from './removed-value.js';

/** Returns whether this records that an entry was removed. */
export function isRemovedEntry({value}: Pick<EvacuationEntry, 'value'>): boolean {
	return value === removedValue;
}
