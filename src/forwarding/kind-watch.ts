import {type StoredObject} from './stored-object.js';

/** All objects of a kind at a revision of the store. */
export type KindState = {
	readonly objects: readonly StoredObject[];
	readonly revision: number;
	/** Revision up to which the last change of the objects is known to have been made. */
	readonly changedAt: number;
};

/** Follows the objects of one kind in the platform's store. */
export type KindWatch = {
	readonly kind: string;
	/** `undefined` until the objects are known. */
	readonly state: () => KindState | undefined;
	/** Takes the state that a peer has, if it is newer. */
	readonly adopt: (state: KindState) => void;
	/** When the store last answered, in milliseconds of the steady clock; `undefined` when it never did. */
	readonly contactAt: () => number | undefined;
	/** Whether the store has not answered the last call. */
	readonly isLost: () => boolean;
	readonly stop: () => void;
};
