import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/** Changes of the objects of a kind since a position, as exchanged between hosts. Hosts of an earlier build state no epochs. */
export type SnapshotDelta = Partial<StorePosition> & Pick<StorePosition, 'revision'> & {
	/** Objects changed since that position. */
	readonly changed: ReadonlyArray<Partial<StoredObject> & Omit<StoredObject, 'epoch'>>;
	/** Names of all existing objects; all others were removed. */
	readonly names: readonly string[];
	/** Upper bound for the revision of the last change. */
	readonly changedAt: number;
};
