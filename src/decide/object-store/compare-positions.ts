import {type StorePosition} from '../../object-store/store-position.js';

/** Compares two positions in the history of the store, for sorting. Each position of a later epoch is newer than all of an earlier one. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
	return a.epoch - b.epoch || a.revision - b.revision;
}
