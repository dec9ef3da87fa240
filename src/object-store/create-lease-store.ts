import {comparePositions} from '../decide/object-store/compare-positions.js';
import {log} from '../observe/log.js';
import {type EpochTracker} from './epoch-tracker.js';
import {type LeaseStore} from './lease-store.js';
import {type ObjectStore} from './object-store.js';
import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/**
Returns the object if the write has changed it. The store answers a write of the value that it has already as it does others, but raises no
revision: other hosts don't see such a write, so it does not count as one.
*/
function requireChange(written: StoredObject | undefined, before: StorePosition): StoredObject | undefined {
	if (written && comparePositions(written, before) <= 0) {
		log.warn({name: written.name, epoch: written.epoch, revision: written.revision}, 'write of the lease changed nothing, it does not count');
		return undefined;
	}

	return written;
}

/** Creates the access to a lease object in the platform's object store. */
export function createLeaseStore(store: ObjectStore, epochs: EpochTracker, kind: string, name: string): LeaseStore {
	return {
		epoch: epochs.known,
		read: async () => store.read(kind, name),
		write: async (value, expected) => expected ? requireChange(await store.replace(kind, name, value, expected), expected) : store.create(kind, name, value),
	};
}
