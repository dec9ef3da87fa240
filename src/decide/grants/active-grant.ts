import {type FairQueueItem} from '../fairness/fair-queue-item.js';

/** A granted slot of an engine, in use by a receiving host. */
export type ActiveGrant = {
	readonly engine: string;
	readonly host: string;
	/** Whether no other request may run on the engine at the same time. */
	readonly alone: boolean;
	/** The request as charged in the engine's fair queue. */
	readonly item: FairQueueItem;
};
