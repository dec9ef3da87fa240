import {type BodyAccount} from './body-account.js';

/** A budget of bytes that the bodies of all requests of a process may hold. */
export type BodyBudget = {
	readonly open: (body: {
		/** Workspace of the caller, or its address. */
		readonly owner: string;
		/** Announced length; `undefined` for a body that announces none. */
		readonly length: number | undefined;
		readonly now: number;
		/** Called when bytes are granted for which the body waited. */
		readonly onGrant: () => void;
		/** Called when the body is given up for others; it holds nothing any more. */
		readonly onClose: () => void;
	}) => BodyAccount;
	/** Gives up the arriving body that moves least, whose connection then closes; returns whether there was one. */
	readonly giveUpOne: (now: number) => boolean;
	readonly heldBytes: () => number;
	/** Most bytes that were held at once. */
	readonly peakBytes: () => number;
};
