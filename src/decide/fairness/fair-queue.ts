import {type FairQueueItem} from './fair-queue-item.js';

/** A queue that divides capacity by weight between services, and within a service between its workspaces. */
export type FairQueue<T extends FairQueueItem> = {
	readonly push: (item: T) => void;
	/** Removes and returns the oldest item of the least served workspace of the least served service. */
	readonly pop: () => T | undefined;
	/** Removes a waiting item and returns it, or `undefined` when no item has this id. */
	readonly remove: (id: string) => T | undefined;
	/** Replaces the expected cost charged for a popped item by its actual cost, in tokens. */
	readonly settle: (item: FairQueueItem, tokens: number) => void;
	/** All waiting items. */
	readonly items: () => readonly T[];
	readonly size: () => number;
	/**
	Virtual token counter (tokens served divided by weight, without credit for idle time) of each workspace, keyed by
	`service/workspace`; for tests and diagnostics.
	*/
	readonly served: () => Readonly<Record<string, number>>;
};
