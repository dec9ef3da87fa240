import {type StoredObject} from './stored-object.js';

/** Changes of the objects of a kind since a revision, as exchanged between hosts. */
export type SnapshotDelta = {
	/** Objects changed since that revision. */
	readonly changed: readonly StoredObject[];
	/** Names of all existing objects; all others were removed. */
	readonly names: readonly string[];
	readonly revision: number;
	/** Upper bound for the revision of the last change. */
	readonly changedAt: number;
};
