import {type KindSnapshot} from './kind-snapshot.js';

/** Follows the objects of one kind in the platform's store. */
export type ObjectWatcher = {
	readonly kind: string;
	/** `undefined` until the objects are known. */
	readonly state: () => KindSnapshot | undefined;
	/** Takes the state that a peer has, if it is newer. */
	readonly applySnapshot: (state: KindSnapshot) => void;
	/** When the store last answered, in milliseconds of the steady clock; `undefined` when it never did. */
	readonly lastContactAt: () => number | undefined;
	/** Whether the store has not answered the last call. */
	readonly isStoreUnreachable: () => boolean;
	readonly stop: () => void;
};
