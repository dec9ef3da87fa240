import {type CondemnedParts} from '../decide/poison/condemned-parts.js';
import {type StoredObject} from '../object-store/stored-object.js';

/** The condemned requests and parts of prompts that all hosts share through the platform's object store. */
export type CondemnedRequestList = {
	/**
	Adds a condemned request to the list in the store, as soon as the store takes it.

	@param delayMs - Time for another host to add it first.
	*/
	readonly add: (digest: string, delayMs: number) => void;
	/** Adds condemned parts of prompts likewise; their `until` is in Unix milliseconds. */
	readonly addParts: (condemned: CondemnedParts, delayMs: number) => void;
	/** Takes parts with which requests have completed out of the list; hosts that start later do not refuse requests with them. */
	readonly clearParts: (parts: readonly string[], delayMs: number) => void;
	/** Returns the condemned parts that are still to be added to the list in the store. */
	readonly listUnlistedParts: () => readonly CondemnedParts[];
	/** Whether a request is still to be added to the list in the store. */
	readonly isUnlisted: (digest: string) => boolean;
	/** Takes over the objects of the list's kind from the store or a peer. */
	readonly applyObjects: (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number) => void;
	readonly stop: () => void;
};
