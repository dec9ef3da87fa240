import {type StoredObject} from './stored-object.js';

/** How the objects of a kind have changed since a revision, as hosts tell each other. */
export type SnapshotDelta = {
	/** Objects changed since. */
	readonly changed: readonly StoredObject[];
	/** Names of all objects; those that are not named are gone. */
	readonly names: readonly string[];
	readonly revision: number;
	readonly changedAt: number;
};
