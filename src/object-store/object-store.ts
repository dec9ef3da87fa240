import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/** A change of an object of the platform's store. */
type ObjectChange = {
	readonly object: StoredObject;
	readonly isRemoved: boolean;
};

/** Client of the platform's store. Every function may throw `PlatformUnavailableError`. */
export type ObjectStore = {
	/** Lists all objects of a kind, with the store's position. */
	readonly list: (kind: string) => Promise<StorePosition & {readonly objects: readonly StoredObject[]}>;
	/**
	Waits up to `waitMs`, or until `signal` is aborted, for changes after a position; `undefined` when the store no longer holds the changes since
	then.
	*/
	readonly watch: (
		kind: string,
		from: StorePosition,
		waitMs: number,
		signal?: AbortSignal,
	) => Promise<StorePosition & {readonly changes: readonly ObjectChange[]} | undefined>;
	/** Reads an object; `undefined` when it does not exist. */
	readonly read: (kind: string, name: string) => Promise<StoredObject | undefined>;
	/** Creates an object; `undefined` when it already exists. */
	readonly create: (kind: string, name: string, value: unknown) => Promise<StoredObject | undefined>;
	/** Replaces an object that was read at a position and has not changed since; `undefined` when it has. */
	readonly replace: (kind: string, name: string, value: unknown, expected: StorePosition) => Promise<StoredObject | undefined>;
	readonly stop: () => Promise<void>;
};
