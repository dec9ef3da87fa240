import {type FairQueueItem} from './fair-queue-item.js';

/** A queue that shares service between services, and within a service between workspaces, by weight. */
export type FairQueue<T extends FairQueueItem> = {
	readonly push: (item: T) => void;
	/** Takes the next item of the service and workspace that have been served least. */
	readonly pop: () => T | undefined;
	readonly remove: (id: string) => T | undefined;
	/** Corrects the account of a popped item by the work that it really took, in tokens. */
	readonly settle: (item: FairQueueItem, tokens: number) => void;
	readonly items: () => readonly T[];
	readonly size: () => number;
	/** Weighted service of each account, for checks. */
	readonly served: () => Readonly<Record<string, number>>;
};
