import {type KindState} from './kind-state.js';

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
