import {type KindSnapshot} from './kind-snapshot.js';

/** Watches the objects of one kind in the platform's store. */
export type ObjectWatcher = {
	/** Name of the kind of objects. */
	readonly kind: string;
	/** Returns the newest snapshot; `undefined` until the objects are known. */
	readonly state: () => KindSnapshot | undefined;
	/** Applies a peer's snapshot if it is newer. */
	readonly applySnapshot: (state: KindSnapshot) => void;
	/** When the store last responded, in milliseconds of the suspend-aware clock; `undefined` when it never did. */
	readonly lastContactAt: () => number | undefined;
	/** Whether the last call to the store got no response. */
	readonly isStoreUnreachable: () => boolean;
	readonly stop: () => void;
};
