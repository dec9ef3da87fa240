import {type StoredObject} from './stored-object.js';

/** A change of an object of the platform's store. */
type ObjectChange = {
	readonly object: StoredObject;
	readonly isRemoved: boolean;
};

/** Client of the platform's store. Every function may throw `PlatformUnavailableError`. */
export type ObjectStore = {
	/** Lists all objects of a kind, with the store's revision. */
	readonly list: (kind: string) => Promise<{readonly objects: readonly StoredObject[]; readonly revision: number}>;
	/** Waits up to `waitMs` for changes after `revision`; `undefined` when the store no longer holds the changes since then. */
	readonly watch: (kind: string, revision: number, waitMs: number) => Promise<{readonly changes: readonly ObjectChange[]; readonly revision: number} | undefined>;
	/** Reads an object; `undefined` when it does not exist. */
	readonly read: (kind: string, name: string) => Promise<StoredObject | undefined>;
	/** Creates an object; `undefined` when it already exists. */
	readonly create: (kind: string, name: string, value: unknown) => Promise<StoredObject | undefined>;
	/** Replaces an object if its revision is still `revision`; `undefined` when it has changed. */
	readonly replace: (kind: string, name: string, value: unknown, revision: number) => Promise<StoredObject | undefined>;
	readonly stop: () => Promise<void>;
};
