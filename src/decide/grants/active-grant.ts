import {type FairQueueItem} from '../fairness/fair-queue-item.js';

/** A slot of an engine that a receiving host uses. */
export type ActiveGrant = {
	readonly engine: string;
	readonly host: string;
	readonly alone: boolean;
	readonly item: FairQueueItem;
};
