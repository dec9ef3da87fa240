import {type EvacuationEntry} from './evacuation-entry.js';

/**
Returns a number that only increases as a host learns of entries and removals in further epochs of the store, 0 for none. Hosts at the same
position compare it. Fault pattern: a host that starts after the store's return from an older copy lists no entry that the others still hold.
*/
export function getEntriesVersion(entries: readonly EvacuationEntry[]): number {
	return entries.reduce((sum, {epoch}) => sum + epoch + 1, 0);
}
