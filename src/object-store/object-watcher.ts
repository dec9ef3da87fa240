import {type KindSnapshot} from './kind-snapshot.js';

/** Watches the objects of one kind in the platform's store. */
export type ObjectWatcher = {
	/** Name of the kind of objects. */
	readonly kind: string;
	/** Returns the newest snapshot; `undefined` until the objects are known. */
	readonly state: () => KindSnapshot | undefined;
	/** Returns the sum of the versions of the objects' contents; 0 for a kind whose objects have none. */
	readonly contentVersion: () => number;
	/** Applies a peer's snapshot if it is newer, or has content of newer versions. */
	readonly applySnapshot: (state: KindSnapshot) => void;
	/** Lists the objects now; calls that are made meanwhile share the response. Throws when the store does not respond. */
	readonly refresh: () => Promise<void>;
	/** When the store last responded, in milliseconds of the suspend-aware clock; `undefined` when it never did. */
	readonly lastContactAt: () => number | undefined;
	/** Whether the last call to the store got no response. */
	readonly isStoreUnreachable: () => boolean;
	readonly stop: () => void;
};
