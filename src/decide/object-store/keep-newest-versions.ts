import {type StoredObject} from '../../object-store/stored-object.js';

/**
Merges two sets of objects whose contents have a version that only increases: of each name the one with the higher version, of equal ones the
received one. So a store that returns from an older copy, or a peer that knows less, takes nothing back.

@param getVersion - Returns the version of an object's content; `undefined` when it is invalid.
*/
export function keepNewestVersions(
	known: readonly StoredObject[],
	received: readonly StoredObject[],
	getVersion: (object: StoredObject) => number | undefined,
): readonly StoredObject[] {
	const newest = new Map(received.map(object => [object.name, object]));
	for (const object of known) {
		const version = getVersion(object);
		const rival = newest.get(object.name);
		if (version !== undefined && version > ((rival && getVersion(rival)) ?? Number.NEGATIVE_INFINITY)) {
			newest.set(object.name, object);
		}
	}

	return [...newest.values()];
}
